//! CPU time and memory, as the kernel accounts for them in `/proc`.

use std::{
    collections::BTreeMap,
    fs, //
};

/// CPU time by thread name, in nanoseconds.
pub type CpuTimes = BTreeMap<String, u64>;

/// Name prefixes of the threads of entries and agents.
pub const REDWING_THREADS: [&str; 11] = [
    "admin",
    "claims",
    "door",
    "front",
    "learner",
    "members",
    "peers",
    "rollout",
    "supervisor",
    "traffic",
    "work",
];

/// The CPU time of this process's threads so far.
pub fn cpu_times() -> CpuTimes {
    let mut times = CpuTimes::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return times;
    };
    for task in tasks.flatten() {
        let path = task.path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        let stat = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let first = stat.split_whitespace().next();
        let nanos: u64 = first.and_then(|text| text.parse().ok()).unwrap_or(0);
        *times.entry(name.trim().to_owned()).or_default() += nanos;
    }
    times
}

/// The CPU time since `before`, in nanoseconds, of the threads whose names
/// begin with one of `names`.
pub fn cpu_since(before: &CpuTimes, names: &[&str]) -> u64 {
    let after = cpu_times();
    let used = after
        .iter()
        .filter(|(name, _)| names.iter().any(|wanted| name.starts_with(wanted)))
        .map(|(name, nanos)| nanos.saturating_sub(before.get(name).copied().unwrap_or(0)));
    used.sum()
}

/// The resident memory of this process, in bytes.
pub fn own_memory() -> u64 {
    process_memory("self")
}

/// The resident memory of process `pid`, in bytes; 0 if it doesn't exist.
pub fn process_memory(pid: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
