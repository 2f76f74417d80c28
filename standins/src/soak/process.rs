//! A real gateway or runner as a process.

use super::keys::REVOCATION_LIMIT;
use crate::relay::Relay;
use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering}, //
};

/// A program with its settings, and its process while it runs. Dropping it kills that
/// process.
pub(super) struct Process {
    /// `None` before the start and after the process has exited.
    child: Option<Child>,
    pub(super) name: String,
    program: PathBuf,
    /// The address for callers; `None` for a runner.
    pub(super) callers: Option<SocketAddr>,
    /// The relay through which the process reaches the store.
    pub(super) relay: Relay,
    /// The file with the process's settings.
    settings: PathBuf,
    /// How many times the process was started; numbers its log files.
    pub(super) starts: u32,
}

impl Process {
    /// Prepares a gateway, without starting it, and writes its settings into `folder`.
    pub(super) async fn gateway(
        folder: &Path,
        number: usize,
        store: SocketAddr,
        collector: SocketAddr,
    ) -> io::Result<Self> {
        let (callers, ready) = (free_port()?, free_port()?);
        let listen = format!("  callers: \"{callers}\"\n  ready: \"{ready}\"\n");
        let name = format!("gateway-{number}");
        let extra = format!(
            "revocation_ms: {}\nusage:\n  address: \"{collector}\"\n  lease_ms: 2500\n  window_s: 1\n",
            REVOCATION_LIMIT.0
        );
        Self::new(folder, &name, store, &listen, &extra, Some(callers)).await
    }

    /// Prepares a runner, without starting it, and writes its settings into `folder`.
    pub(super) async fn runner(
        folder: &Path,
        number: usize,
        store: SocketAddr,
        engine: SocketAddr,
    ) -> io::Result<Self> {
        let name = format!("runner-{number}");
        let extra = format!("engine:\n  address: \"{engine}\"\n  service: engines\n");
        Self::new(folder, &name, store, "", &extra, None).await
    }

    async fn new(
        folder: &Path,
        name: &str,
        store: SocketAddr,
        listen: &str,
        extra: &str,
        callers: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let relay = Relay::open(store).await?;
        let (metrics, peers, store_relay) = (free_port()?, free_port()?, relay.address);
        let text = format!(
            "instance: {name}\ndata_centre: north\nlisten:\n  metrics: \"{metrics}\"\n  peers: \"{peers}\"\n{listen}\
             store: \"{store_relay}\"\ngrace_s: 6\nretention_s: 60\n{extra}"
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let kind = name.split('-').next().unwrap_or(name);
        let own_path = std::env::current_exe()?;
        let program = own_path.with_file_name(format!("redwing-{kind}"));
        Ok(Self {
            callers,
            child: None,
            name: name.to_owned(),
            program,
            relay,
            settings,
            starts: 0,
        })
    }

    /// Starts the process; its log goes into the folder of its settings.
    pub(super) fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = self.settings.with_extension(format!("{}.log", self.starts));
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(File::create(log)?)
            .stderr(Stdio::inherit())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal if the process is running.
    pub(super) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            eprintln!("{}: can't send {signal:?}: {error}", self.name);
        }
    }

    /// Whether the process is running; reaps it if it has exited.
    pub(super) fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let running = matches!(child.try_wait(), Ok(None));
        if !running {
            self.child = None;
        }
        running
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // An error means that the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The range of ports that processes listen at. It lies below the system's ephemeral ports, so
/// that no outgoing connection takes the port of a process that is being restarted.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// Finds a free port. The search begins at a port that depends on the soak's process id,
/// so that concurrent soaks rarely try the same ports.
fn free_port() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(61);
    for _ in PORTS {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}
