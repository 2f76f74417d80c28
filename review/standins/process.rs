//! The project's programs as processes, with settings like those that the deploy file's
//! templates give.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

/// The parts of the rules that the site `amra-tema` has in force.
const CONTRACTS: &str =
    r#"["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]"#;

/// A running program. Dropping it kills its process.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// A folder for settings and logs, which is removed at the end unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn open() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("redwing-review-{}", std::process::id()));
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

/// A gateway, the address for callers and the address of its readiness check.
pub struct Gateway {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// Starts a gateway as the deploy file's role `gateway` does.
pub fn start_gateway(folder: &Path, name: &str, store: SocketAddr) -> io::Result<Gateway> {
    let [callers, ready, metrics, peers] = free_ports()?;
    let settings = format!(
        "instance: \"{name}\"\ndata_centre: \"hall\"\nlisten:\n  callers: \"{callers}\"\n  \
         metrics: \"{metrics}\"\n  peers: \"{peers}\"\n  ready: \"{ready}\"\n\
         store: \"{store}\"\ngrace_s: 8\nretention_s: 120\nguarantees: {CONTRACTS}\n\
         limits:\n  memory_mb: 280\n  descriptors: 8200\ndrain_ms: 2000\n"
    );
    let process = start(folder, name, "redwing-gateway", &settings)?;
    Ok(Gateway {
        process,
        callers,
        ready,
    })
}

/// Starts the runner beside `engine` as the deploy file's role `runner` does.
pub fn start_runner(
    folder: &Path,
    name: &str,
    store: SocketAddr,
    engine: SocketAddr,
    service: &str,
) -> io::Result<Process> {
    let [metrics, peers, ..] = free_ports()?;
    let settings = format!(
        "instance: \"{name}\"\ndata_centre: \"hall\"\nlisten:\n  metrics: \"{metrics}\"\n  \
         peers: \"{peers}\"\nengine:\n  address: \"{engine}\"\n  service: \"{service}\"\n\
         store: \"{store}\"\ngrace_s: 8\nretention_s: 120\nguarantees: {CONTRACTS}\n\
         limits:\n  memory_mb: 192\n  descriptors: 4096\ndrain_ms: 2000\n"
    );
    start(folder, name, "redwing-runner", &settings)
}

fn start(folder: &Path, name: &str, program: &str, settings: &str) -> io::Result<Process> {
    let file = folder.join(format!("{name}.yaml"));
    fs::write(&file, settings)?;
    let log = File::create(folder.join(format!("{name}.log")))?;
    let mut command = Command::new(Path::new("target/release").join(program));
    command
        .env_clear()
        .env("REDWINGPOND_SETTINGS", &file)
        .env(
            "_RJEM_MALLOC_CONF",
            "narenas:1,tcache:false,dirty_decay_ms:0,muzzy_decay_ms:0",
        )
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log);
    // Ends the program with the script, however that ends.
    // SAFETY: `prctl` is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
    let child = command.spawn()?;
    Ok(Process {
        child,
        name: name.to_owned(),
    })
}

/// The ports that programs listen at. They lie below those that the system gives to outgoing
/// channels, so that none of these takes the port of a program that is about to start.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// Four ports that are free at present. Scripts that run at the same time search from
/// different places.
fn free_ports() -> io::Result<[SocketAddr; 4]> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    let mut free = Vec::new();
    for _ in PORTS {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            free.push(address);
        }
        if let [a, b, c, d] = free[..] {
            return Ok([a, b, c, d]);
        }
    }
    Err(io::Error::other("no free port"))
}

/// Whether a gateway counts as ready, by the platform's question.
pub fn is_ready(gateway: &Gateway) -> bool {
    let asked = crate::http::call(
        gateway.ready,
        "GET",
        "/readyz",
        &[("Host", "ready"), ("Connection", "close")],
        b"",
        Duration::from_millis(500),
    );
    asked.is_ok_and(|answer| answer.status == 200)
}
