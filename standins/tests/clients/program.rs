//! A program as a process, and what it uses.

use std::{
    collections::HashMap,
    env,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{AtomicBool, Ordering}, //
    },
    thread::{self, JoinHandle},
    time::Duration, //
};

/// The allocator's settings, as in `deploy/system.toml`.
const ALLOCATOR: &str = "narenas:1,tcache:false,dirty_decay_ms:0,muzzy_decay_ms:0";

/// How often the use of a process is measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// The most that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peak {
    pub(super) descriptors: usize,
    /// Resident bytes, and those that have arrived at its sockets and were not read.
    pub(super) memory: usize,
}

/// A running program; dropping it kills the process.
pub(super) struct Program {
    child: Child,
    name: String,
    peak: Arc<Mutex<Peak>>,
    sampler: Option<JoinHandle<()>>,
    stopped: Arc<AtomicBool>,
}

impl Program {
    /// Starts `redwing-KIND` with the settings in `text`; its log goes into `folder`.
    pub(super) fn start(folder: &Path, kind: &str, arguments: &[&str], text: &str) -> Self {
        let settings = folder.join(format!("{kind}.yaml"));
        let log = File::create(folder.join(format!("{kind}.log"))).expect("log created");
        fs::write(&settings, text).expect("settings written");
        let mut command = Command::new(built(&format!("redwing-{kind}")));
        command.args(arguments);
        if !text.is_empty() {
            command.arg("--settings").arg(&settings);
        }
        let child = command
            .env("_RJEM_MALLOC_CONF", ALLOCATOR)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts; `cargo build` builds it");
        let peak = Arc::new(Mutex::new(Peak::default()));
        let stopped = Arc::new(AtomicBool::new(false));
        let sampler = thread::spawn({
            let (id, peak, stopped) = (child.id(), peak.clone(), stopped.clone());
            move || {
                while !stopped.load(Ordering::Relaxed) {
                    sample(id, &peak);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            }
        });
        Self {
            child,
            name: kind.to_owned(),
            peak,
            sampler: Some(sampler),
            stopped,
        }
    }

    /// The most that the process has used so far.
    pub(super) fn peak(&self) -> Peak {
        *self.peak.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks that the process lives and has stayed under these limits.
    pub(super) fn check(&mut self, memory_mb: usize, descriptors: usize) {
        let Peak {
            descriptors: opened,
            memory,
        } = self.peak();
        let name = &self.name;
        let exit = self.child.try_wait().expect("the state of the process");
        eprintln!(
            "{name}: peak of {:.1} MB, {opened} descriptors",
            memory as f64 / MB as f64
        );
        assert!(exit.is_none(), "{name} has ended: {exit:?}");
        assert!(
            memory <= memory_mb * MB && opened <= descriptors,
            "{name}: {:.1} of {memory_mb} MB, {opened} of {descriptors} descriptors",
            memory as f64 / MB as f64
        );
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let sampler = self.sampler.take();
        let _ = sampler.map(JoinHandle::join);
    }
}

const MB: usize = 1024 * 1024;

/// The path of a program that was built beside this one.
fn built(name: &str) -> PathBuf {
    let own = env::current_exe().expect("the path of this program");
    let folder = own.parent().and_then(Path::parent).expect("target folder");
    folder.join(name)
}

/// Runs a program to its end.
pub(super) fn run_program(name: &str, arguments: &[&str]) {
    let status = Command::new(built(name)).args(arguments).status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "{name} {arguments:?}"
    );
}

/// Adds the present use of a process to its peak.
fn sample(id: u32, peak: &Mutex<Peak>) {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<usize>().ok()
    };
    let kb = |name: &str| field(name).unwrap_or(0) * 1024;
    let links = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten();
    let links: Vec<String> = links
        .flatten()
        .map(|entry| fs::read_link(entry.path()).unwrap_or_default())
        .map(|target| target.to_string_lossy().into_owned())
        .collect();
    let unread = unread_bytes();
    let sockets = links.iter().filter_map(|link| {
        let inode = link.strip_prefix("socket:[")?.strip_suffix(']')?;
        unread.get(inode)
    });
    let with_unread = kb("VmRSS:") + sockets.sum::<usize>();
    let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
    peak.memory = peak.memory.max(with_unread).max(kb("VmHWM:"));
    peak.descriptors = peak.descriptors.max(links.len());
}

/// The state of a listening socket in the system's table.
const LISTENING: &str = "0A";

/// The bytes that have arrived at each connected socket of the machine, by inode.
fn unread_bytes() -> HashMap<String, usize> {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (state, queues, inode) = (fields.get(3)?, fields.get(4)?, fields.get(9)?);
        let unread = usize::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
        (*state != LISTENING && unread > 0).then(|| ((*inode).to_owned(), unread))
    };
    table.lines().filter_map(row).collect()
}

/// A free port of the loopback address, below those that the system gives to clients.
pub(super) fn free_port() -> SocketAddr {
    let start = 12_000 + std::process::id() % 9_000;
    let addresses = (start..32_000).map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16)));
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    let free =
        |address: &SocketAddr| !taken.contains(address) && TcpListener::bind(address).is_ok();
    let found = addresses.into_iter().find(free).expect("a free port");
    taken.push(found);
    found
}

/// The ports that were given to programs.
static TAKEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
