//! The cases. Each returns the breaches of its rule that the trainer or the samplers saw.

use crate::{
    http,
    record::Record,
    server::{Engine, EngineOptions, PlainOptions, Run, Trouble},
    site::{Batch, ENGINES, HOST, Item, ItemResult, Options, Site},
    store::Store,
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io, thread,
    time::{Duration, Instant},
};

type Outcome = io::Result<Vec<String>>;

/// The share of answers that samplers repeat: 3 in 100, like `garble` with `x = 0.03` in the
/// site files.
const REPEATED_EVERY: u64 = 33;

fn options() -> Options {
    Options {
        engines: 2,
        engine: EngineOptions {
            slots: 4,
            event_time: Duration::from_millis(100),
            trouble: Trouble::None,
        },
        gateways: 2,
        item_ttl_s: 40,
        plain: 2,
        plain_server: PlainOptions {
            queue: 24,
            slots: 6,
            trouble: Trouble::None,
            work: Duration::from_millis(40),
        },
        single_version: false,
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Sleeps until `at` after `start`.
fn sleep_until(start: Instant, at: Duration) {
    thread::sleep(at.saturating_sub(start.elapsed()));
}

/// How many times a sampler crashes, the time between two crashes, and for how long each is down.
const CRASHES: u32 = 36;
const CRASH_INTERVAL: Duration = Duration::from_millis(400);

/// How long the entry of a sampler that crashed stays in the store: three heartbeat intervals.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);

/// Crashes the engines by turns. Returns them once all are up, and when that was.
fn crash_by_turns(mut engines: Vec<Engine>, store: &Store) -> io::Result<(Vec<Engine>, Instant)> {
    let start = Instant::now();
    let count = engines.len();
    let mut down: Option<(usize, u64)> = None;
    let mut entries: VecDeque<(Instant, String)> = VecDeque::new();
    for number in 0..=CRASHES {
        sleep_until(start, CRASH_INTERVAL * number);
        if let Some((engine, version)) = down.take() {
            engines[engine].restart(version, store, ENGINES)?;
        }
        while let Some((_, id)) = entries.pop_front_if(|(at, _)| at.elapsed() >= ENTRY_TIME) {
            store.remove_server(&id);
        }
        let engine = number as usize % count;
        if number < CRASHES
            && let Some((id, version)) = engines[engine].crash()
        {
            entries.push_back((Instant::now(), id));
            down = Some((engine, version));
        }
    }
    let calm = Instant::now();
    for (at, id) in entries {
        thread::sleep(ENTRY_TIME.saturating_sub(at.elapsed()));
        store.remove_server(&id);
    }
    Ok((engines, calm))
}

/// The time that a trainer gives a step.
const STEP_TIME: Duration = Duration::from_secs(12);

/// The groups of a step, and how many of them the trainer waits for.
const STEP_GROUPS: usize = 10;
const GROUP_TARGET: usize = 9;

/// Engines crash by turns for 14 s. Then all is calm, and the trainer's steps go on.
pub fn left_lying(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.engines = 3;
    options.engine.event_time = Duration::from_millis(70);
    let mut site = Site::open(&options, record)?;
    let start = Instant::now();
    let crashing = has_trouble.then(|| {
        let (engines, store) = (std::mem::take(&mut site.engines), site.store.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(300));
            crash_by_turns(engines, &store)
        })
    });
    let mut judged = Vec::new();
    let mut carried: Vec<Vec<Item>> = Vec::new();
    let mut named = start;
    for step in 0..4 {
        let new = vec![vec![24; 4]; STEP_GROUPS - carried.len()];
        let id = format!("7c41e0{step:02x}");
        let mut batch = Batch::new(&id, step, step.max(1), &new);
        let carried_count = carried.len();
        batch.groups.splice(0..0, std::mem::take(&mut carried));
        batch.group_target = GROUP_TARGET;
        let asked = Instant::now();
        batch.submit(&site)?;
        let results = read_step(&batch, &site, carried_count, asked);
        let ran_out = asked.elapsed() >= STEP_TIME;
        batch.end(&site);
        let ended = Instant::now();
        let is_open = |item: &&Item| !results.iter().any(|result| result.id == item.id);
        let open: Vec<Item> = batch.items().filter(is_open).cloned().collect();
        record.line(&format!(
            "trainer: step {step} ended after {:.1} s, {} items open, ran out: {ran_out}",
            asked.elapsed().as_secs_f64(),
            open.len()
        ));
        if ran_out {
            judged.push(EndedStep {
                asked,
                ended,
                named,
                open: open.clone(),
                step,
            });
        }
        let is_open = |group: &&Vec<Item>| {
            let open_ids: Vec<&str> = open.iter().map(|item| item.id.as_str()).collect();
            group
                .iter()
                .any(|item| open_ids.contains(&item.id.as_str()))
        };
        let incomplete = batch.groups.iter().filter(is_open).cloned();
        carried = incomplete.take(GROUP_TARGET / 2).collect();
        thread::sleep(seconds(1));
        site.name_version(step + 2);
        named = Instant::now();
    }
    let mut calm = start;
    if let Some(crashing) = crashing {
        let ended = crashing
            .join()
            .map_err(|_| io::Error::other("the crashes failed"))?;
        let (engines, since) = ended?;
        site.engines = engines;
        calm = since;
    }
    site.check_running()?;
    let runs = site.runs.lock().expect("no run panics").clone();
    let slots = options.engines * options.engine.slots;
    let broken = judged
        .iter()
        .flat_map(|step| step.left_lying(&runs, calm, slots, record));
    Ok(broken.collect())
}

/// Reads a step's results until the trainer has its groups, or its time is up. It waits for
/// the first `carried` groups in any case.
fn read_step(batch: &Batch, site: &Site, carried: usize, asked: Instant) -> Vec<ItemResult> {
    let mut results: Vec<ItemResult> = Vec::new();
    let mut gateway = 0;
    while asked.elapsed() < STEP_TIME {
        gateway += 1;
        if let Some((_, more)) = batch.read(site, gateway, results.len()) {
            results.extend(more);
        }
        let is_listed = |item: &Item| results.iter().any(|result| result.id == item.id);
        let is_complete = |group: &Vec<Item>| group.iter().all(is_listed);
        let complete = batch
            .groups
            .iter()
            .filter(|group| is_complete(group))
            .count();
        if complete >= batch.group_target && batch.groups[..carried].iter().all(is_complete) {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    results
}

/// A step that ran out of time.
struct EndedStep {
    asked: Instant,
    ended: Instant,
    /// When the last version was named before that.
    named: Instant,
    open: Vec<Item>,
    step: u64,
}

/// How long an item may be at no sampler, in steady state.
const LYING_TIME: Duration = Duration::from_secs(5);

/// `contactMs`: how long after the last disturbance the state counts as steady.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// No version may have been named for this long before the item was left.
const NAMED_TIME: Duration = Duration::from_secs(6);

impl EndedStep {
    /// The items that were left lying, by the rule with its conditions.
    fn left_lying(
        &self,
        runs: &[Run],
        calm: Instant,
        slots: usize,
        record: &Record,
    ) -> Vec<String> {
        let Some(since) = self.ended.checked_sub(LYING_TIME) else {
            return Vec::new();
        };
        let is_steady = since >= calm + CONTACT_TIME;
        let is_quiet = since >= self.named + NAMED_TIME;
        let at_sampler = |run: &&Run| {
            let ended = run.ended.unwrap_or(self.ended);
            run.began <= self.ended && ended >= since
        };
        // The most runs at the same time: each maximum begins with the start of a run.
        let at_once = |at: Instant| {
            let runs = runs.iter().filter(at_sampler);
            let going = |run: &&Run| run.began <= at && run.ended.is_none_or(|ended| ended >= at);
            runs.filter(going).count()
        };
        let starts = runs
            .iter()
            .filter(at_sampler)
            .map(|run| run.began.max(since));
        let busy = starts.map(at_once).max().unwrap_or(0);
        let has_begun = runs
            .iter()
            .any(|run| run.began >= self.asked && run.began <= since);
        record.line(&format!(
            "step {} ran out with {} items open: steady {is_steady}, no version named {is_quiet}, {busy} runs at most at once in its last 5 s at {slots} slots, others begun {has_begun}",
            self.step,
            self.open.len()
        ));
        if !is_steady || !is_quiet || busy * 2 >= slots || !has_begun {
            return Vec::new();
        }
        let lying = self.open.iter().filter(|item| {
            let mut own = runs.iter().filter(|run| run.item == item.id);
            own.all(|run| !run.is_whole && !at_sampler(&run))
        });
        let line = |item: &Item| {
            let own = runs.iter().filter(|run| run.item == item.id);
            let count = own.clone().count();
            let last = own.filter_map(|run| run.ended).max();
            let idle = last.map_or(0.0, |last| (self.ended - last).as_secs_f64());
            format!(
                "item {} of step {} ran {count} times, never whole, and was at no sampler for the last {idle:.1} s of the step; at most {busy} of {slots} slots were taken in its last 5 s",
                item.id, self.step
            )
        };
        lying.map(line).collect()
    }
}

/// The store is down while the time of some running items ends and they are completed.
pub fn two_positions(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.item_ttl_s = 20;
    let mut site = Site::open(&options, record)?;
    // Each engine has room for one group at a time: the second groups run from 11 s to 22 s.
    let batch = Batch::new("7c41e09b", 0, 1, &vec![vec![110; 4]; 4]);
    batch.submit(&site)?;
    let start = Instant::now();
    sleep_until(start, seconds(18));
    if has_trouble {
        record.line("store: down");
        site.store.set_down(true);
        sleep_until(start, seconds(24));
        site.store.set_down(false);
        record.line("store: up");
    }
    sleep_until(start, seconds(27));
    let results = batch.read_all(&site, batch.count() + 1, start + seconds(31));
    site.check_running()?;
    if results.is_empty() {
        return Err(io::Error::other("no results were read"));
    }
    Ok(listed_twice(&results))
}

/// The items that stand at two positions.
fn listed_twice(results: &[ItemResult]) -> Vec<String> {
    let mut positions: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for (position, result) in results.iter().enumerate() {
        let state = if result.is_succeeded {
            "succeeded"
        } else {
            "terminated"
        };
        let place = format!("{position} ({state})");
        positions.entry(&result.id).or_default().push(place);
    }
    let twice = positions.into_iter().filter(|(_, places)| places.len() > 1);
    twice
        .map(|(id, places)| format!("item {id} stands at positions {}", places.join(" and ")))
        .collect()
}

/// A stream breaks off while its engine waits for it before a change of version.
pub fn two_versions(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.single_version = true;
    if has_trouble {
        options.engine.trouble = Trouble::BreakOff;
    }
    let mut site = Site::open(&options, record)?;
    // The trainer asks for its steps ahead: while it trains on the first, the second runs.
    let steps = [
        Batch::new("7c41e00a", 0, 1, &vec![vec![3; 4]; 6]),
        Batch::new("7c41e00b", 1, 1, &vec![vec![60; 4]; 2]),
    ];
    let start = Instant::now();
    for batch in &steps {
        batch.submit(&site)?;
    }
    let [first, second] = &steps;
    let results = first.read_all(&site, first.count(), start + seconds(20));
    first.end(&site);
    if results.len() < first.count() {
        return Err(io::Error::other("the first step was not completed"));
    }
    thread::sleep(Duration::from_millis(500));
    site.name_version(2);
    let results = second.read_all(&site, second.count(), start + seconds(50));
    second.end(&site);
    site.check_running()?;
    if results.len() < second.count() {
        return Err(io::Error::other("the second step was not completed"));
    }
    let mixed = results.iter().filter(|result| result.versions.len() != 1);
    let mixed = mixed.filter(|result| result.is_succeeded);
    Ok(mixed
        .map(|result| {
            let (id, versions) = (&result.id, &result.versions);
            format!("item {id} of a singleVersion route succeeded with versions {versions:?}")
        })
        .collect())
}

/// Engines repeat some answers late.
pub fn foreign_text(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.engine.event_time = Duration::from_millis(40);
    if has_trouble {
        options.engine.trouble = Trouble::ExtraLate(REPEATED_EVERY);
    }
    let mut site = Site::open(&options, record)?;
    let mut broken = Vec::new();
    for step in 0..8 {
        let start = Instant::now();
        let groups: Vec<Vec<u64>> = (0..6).map(|group| vec![8 + group; 4]).collect();
        let batch = Batch::new(&format!("7c41e0{step:02x}"), step, 1, &groups);
        batch.submit(&site)?;
        let results = batch.read_all(&site, batch.count(), start + seconds(12));
        batch.end(&site);
        if results.len() < batch.count() {
            return Err(io::Error::other("a step was not completed"));
        }
        let foreign = results.iter().filter(|result| result.is_succeeded);
        let foreign = foreign.filter(|result| result.text != batch.whole_text(&result.id));
        broken.extend(foreign.map(|result| {
            let first = result.text.lines().next().unwrap_or_default();
            format!(
                "item {} succeeded with a text that begins `{first}`",
                result.id
            )
        }));
    }
    site.check_running()?;
    Ok(broken)
}

/// Samplers repeat some refusals late.
pub fn second_run(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.plain_server.slots = 3;
    options.plain_server.queue = 2;
    if has_trouble {
        options.plain_server.trouble = Trouble::ExtraLate(REPEATED_EVERY);
    }
    let mut site = Site::open(&options, record)?;
    let end = Instant::now() + seconds(14);
    let gateways: Vec<_> = site
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    let mut callers = Vec::new();
    for caller in 0..16 {
        let (record, gateway) = (record.clone(), gateways[caller % gateways.len()]);
        callers.push(thread::spawn(move || {
            let mut answers = HashMap::new();
            for number in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let id = format!("9c41{caller:02x}{number:06x}");
                let headers = [
                    ("Host", HOST),
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Deadline-Ms", "1500"),
                ];
                let timeout = Duration::from_secs(2);
                let answer =
                    http::call(gateway, "POST", "/lohu930/2f", &headers, b"entry", timeout);
                let status = answer.map_or(0, |answer| answer.status);
                record.line(&format!("caller {caller}: {id} answered {status}"));
                answers.insert(id, status);
                thread::sleep(Duration::from_millis(25));
            }
            answers
        }));
    }
    let mut answers = HashMap::new();
    for caller in callers {
        let more = caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        answers.extend(more);
    }
    thread::sleep(seconds(1));
    site.check_running()?;
    if !answers.values().any(|status| *status == 200) {
        return Err(io::Error::other("no request was answered"));
    }
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (number, server) in site.plain.iter().enumerate() {
        for (id, count) in server.runs() {
            let times = (0..count).map(|_| format!("i-ledger{number}"));
            runs.entry(id).or_default().extend(times);
        }
    }
    let counts = answers
        .values()
        .fold(BTreeMap::new(), |mut counts, status| {
            *counts.entry(*status).or_insert(0_u32) += 1;
            counts
        });
    record.line(&format!("answers by status: {counts:?}"));
    let mut broken = Vec::new();
    for (id, servers) in &runs {
        let status = answers.get(id).copied().unwrap_or(0);
        if servers.len() > 1 {
            let servers = servers.join(" and at ");
            broken.push(format!(
                "unsafe request {id} ran at {servers}; answered {status}"
            ));
        } else if matches!(status, 429 | 503) {
            broken.push(format!(
                "unsafe request {id} was answered {status} and has run"
            ));
        }
    }
    Ok(broken)
}
