//! The project's programs as processes, with settings like those of the deploy file's templates.

use crate::{http::call, record::Record};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// The folder of a case's settings and logs; removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn open() -> io::Result<Self> {
        let name = format!("redwing-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A free loopback address.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The bounds and limits that a case sets for its machines.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u32,
    pub descriptors: u32,
    /// The bound `drainMs`.
    pub drain_ms: u32,
    /// Whether the contract `pool` is in force.
    pub pool: bool,
    /// The bound `statusTtlS`.
    pub status_ttl_s: u32,
}

/// A gateway or runner as a process; killed when dropped.
pub struct Program {
    child: Option<Child>,
    folder: PathBuf,
    name: String,
    program: &'static str,
    record: Record,
    starts: u32,
    /// The address for callers; none for a runner.
    pub front: Option<SocketAddr>,
    ready: Option<SocketAddr>,
}

impl Program {
    /// Starts a gateway and waits until it is ready.
    pub fn gateway(
        name: &str,
        store: SocketAddr,
        limits: Limits,
        folder: &Folder,
        record: &Record,
    ) -> io::Result<Self> {
        let (front, ready) = (free_address()?, free_address()?);
        let listen = format!("  callers: \"{front}\"\n  ready: \"{ready}\"\n");
        let mut program = Self::prepare(
            name,
            "target/release/redwing-gateway",
            store,
            limits,
            &listen,
            "",
            folder,
            record,
        )?;
        (program.front, program.ready) = (Some(front), Some(ready));
        program.start()?;
        program.wait_ready()?;
        Ok(program)
    }

    /// Starts the runner of the model sampler at `engine`.
    pub fn runner(
        name: &str,
        store: SocketAddr,
        engine: (SocketAddr, &str),
        limits: Limits,
        folder: &Folder,
        record: &Record,
    ) -> io::Result<Self> {
        let engine = format!(
            "engine:\n  address: \"{}\"\n  service: \"{}\"\n",
            engine.0, engine.1
        );
        let mut program = Self::prepare(
            name,
            "target/release/redwing-runner",
            store,
            limits,
            "",
            &engine,
            folder,
            record,
        )?;
        program.start()?;
        Ok(program)
    }

    #[allow(clippy::too_many_arguments)]
    fn prepare(
        name: &str,
        program: &'static str,
        store: SocketAddr,
        limits: Limits,
        listen: &str,
        engine: &str,
        folder: &Folder,
        record: &Record,
    ) -> io::Result<Self> {
        let (metrics, peers) = (free_address()?, free_address()?);
        let Limits {
            memory_mb,
            descriptors,
            drain_ms,
            pool,
            status_ttl_s,
        } = limits;
        let pool = if pool { "\"pool\"," } else { "" };
        let text = format!(
            "instance: \"{name}\"\ndata_centre: \"north\"\nlisten:\n  metrics: \"{metrics}\"\n  \
             peers: \"{peers}\"\n{listen}{engine}store: \"{store}\"\ngrace_s: 8\n\
             retention_s: {status_ttl_s}\nguarantees: [\"base\",\"drain\",\"config\",\"cost\",\
             \"recover\",\"samples\",\"stream\",\"engine\",\"batch\",{pool}\"platform\"]\nlimits:\n  \
             memory_mb: {memory_mb}\n  descriptors: {descriptors}\ndrain_ms: {drain_ms}\n"
        );
        fs::write(folder.0.join(format!("{name}.yaml")), text)?;
        Ok(Self {
            child: None,
            folder: folder.0.clone(),
            name: name.to_owned(),
            program,
            record: record.clone(),
            starts: 0,
            front: None,
            ready: None,
        })
    }

    /// Starts the process, as the deploy file does.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = format!("{}.{}.log", self.name, self.starts);
        let child = Command::new(self.program)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env(
                "REDWINGPOND_SETTINGS",
                self.folder.join(format!("{}.yaml", self.name)),
            )
            .env(
                "_RJEM_MALLOC_CONF",
                "narenas:1,tcache:false,dirty_decay_ms:0,muzzy_decay_ms:0",
            )
            .stdin(Stdio::null())
            .stdout(File::create(self.folder.join(log))?)
            .stderr(Stdio::null())
            .spawn()?;
        self.record.line(&format!("{} started", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("{} is ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let Some(ready) = self.ready else {
            return false;
        };
        // The path that deploy/wire.toml names.
        let path = "/readyz";
        let host = [("Host", "platform")];
        let answer = call(ready, "GET", path, &host, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// The process's id while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", self.name));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether the script plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

/// Whether the programs were built.
pub fn are_built() -> bool {
    ["gateway", "runner"]
        .iter()
        .all(|name| Path::new(&format!("target/release/redwing-{name}")).exists())
}
