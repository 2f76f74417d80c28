//! What threads of this process use, by the kernel's own account.

use std::{
    collections::BTreeMap,
    fs, //
};

/// Processor time by thread name, in nanoseconds.
pub type Usage = BTreeMap<String, u64>;

/// The threads of entries and agents.
pub const PRODUCT: [&str; 11] = [
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

/// The processor time of all threads so far.
pub fn now() -> Usage {
    let mut usage = Usage::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return usage;
    };
    for task in tasks.flatten() {
        let path = task.path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        let times = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let first = times.split_whitespace().next();
        let nanos: u64 = first.and_then(|text| text.parse().ok()).unwrap_or(0);
        *usage.entry(name.trim().to_owned()).or_default() += nanos;
    }
    usage
}

/// What the threads whose names begin with one of `names` used since `before`.
pub fn since(before: &Usage, names: &[&str]) -> u64 {
    let after = now();
    let used = after
        .iter()
        .filter(|(name, _)| names.iter().any(|wanted| name.starts_with(wanted)))
        .map(|(name, nanos)| nanos.saturating_sub(before.get(name).copied().unwrap_or(0)));
    used.sum()
}
/// The resident memory of this process, in bytes.
pub fn resident() -> u64 {
    resident_of("self")
}

/// The resident memory of process `pid`, in bytes; 0 when there is none.
pub fn resident_of(pid: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
