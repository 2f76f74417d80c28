//! Second answers that arrive late, where the answer to another request is expected.

use super::site::{RESULTS_TIMEOUT, check_whole, sleep, submit_until_accepted};
use hyper::Method;
use redwing_standins::{
    client::FullResponse,
    site::{
        Batch,
        CarriedRequest,
        CarriedRequests,
        EngineFaults,
        ItemResult,
        LateMoment,
        PlainFault,
        PlainServer,
        RepeatingRelay,
        Repetition,
        SecondAnswer,
        SiteOptions,
        TestSite, //
    },
};
use redwingpond::base::Millis;
use std::{
    collections::BTreeSet,
    panic::{AssertUnwindSafe, catch_unwind}, //
};

/// How long a caller waits, in ms.
const DEADLINE: &str = "8000";

/// The most calls until one of them is on the connection of an earlier one.
const MAX_CALLS: usize = 12;

/// The most batches until one of them is on the connection of an earlier one.
const MAX_BATCHES: usize = 3;

/// How often an id is used twice.
const ROUNDS: usize = 3;

/// The number of batches before the first late answer. An old report is then older than the
/// last order.
const UNDISTURBED_BATCHES: usize = 2;

/// How long a runner sends no other order after one, in ms.
const SETTLE_TIME: u64 = 700;

/// How long bytes take to arrive on an idle connection, in ms.
const DELIVERY_TIME: u64 = 20;

/// The paths of orders and of reports.
const ORDER: &str = "/redwingpond/order";
const REPORT: &str = "/redwingpond/report";

/// A late second answer.
#[derive(Clone, Copy)]
struct LateAnswer {
    answer: SecondAnswer,
    name: &'static str,
}

/// A second answer with this status and these headers. No answer of a server has its header
/// `x-late` and its body.
macro_rules! late {
    ($status:literal, $headers:literal) => {
        SecondAnswer::Bytes(concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nx-late: 1\r\nx-response-signature: seal-late\r\n",
            $headers,
            "content-length: 4\r\n\r\nlate"
        ))
    };
}

/// An engine's stream of one event.
const LATE_STREAM: SecondAnswer = SecondAnswer::Bytes(concat!(
    "HTTP/1.1 200 OK\r\nx-late: 1\r\nx-response-signature: engine\r\nx-weight-versions: 1\r\n",
    "x-attempt-id: {id}\r\ncontent-type: text/event-stream\r\n",
    "transfer-encoding: chunked\r\n\r\n14\r\nid: 0\ndata: late-0\n\n\r\n0\r\n\r\n"
));

/// An engine's report of its first weights, from before any order.
const OLD_REPORT: SecondAnswer = SecondAnswer::Bytes(concat!(
    "HTTP/1.1 200 OK\r\nx-late: 1\r\ncontent-type: application/json\r\n",
    "content-length: 99\r\n\r\n",
    r#"{"born":1764720000000,"busy":false,"models":[{"name":"m0","version":1,"adapters":[]}],"#,
    r#""sequence":0}"#
));

fn late_answers() -> Vec<LateAnswer> {
    let late = |name, answer| LateAnswer { answer, name };
    vec![
        late("copy", SecondAnswer::Copy),
        late("whole", late!("200 OK", "x-attempt-id: {id}\r\n")),
        late("stream", LATE_STREAM),
        late(
            "full",
            late!("503 Full", "x-attempt-id: {id}\r\nx-not-executed: 1\r\n"),
        ),
        late(
            "limited",
            late!("429 Limited", "x-attempt-id: {id}\r\nx-not-executed: 1\r\n"),
        ),
        late(
            "misdirected",
            late!(
                "421 Misdirected",
                "x-attempt-id: {id}\r\nx-instance-id: other\r\nx-not-executed: 1\r\n"
            ),
        ),
        late("failed", late!("500 Failed", "x-attempt-id: {id}\r\n")),
        late("rejected", late!("422 Rejected", "x-attempt-id: {id}\r\n")),
        late("accepted", late!("202 Accepted", "")),
        late("conflict", late!("409 Conflict", "")),
        late("report", OLD_REPORT),
        late("bare", late!("200 OK", "x-weight-versions: 1\r\n")),
        late("bareFull", late!("503 Full", "x-not-executed: 1\r\n")),
        late(
            "twoIds",
            late!(
                "200 OK",
                "x-attempt-id: {next}\r\nx-attempt-id: {id}\r\nx-weight-versions: 1\r\n"
            ),
        ),
        late(
            "twoIdsFull",
            late!(
                "503 Full",
                "x-attempt-id: {next}\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n"
            ),
        ),
    ]
}

/// A site with two plain servers, each behind a relay.
struct CallSite {
    relays: Vec<RepeatingRelay>,
    servers: Vec<PlainServer>,
    site: TestSite,
}

impl CallSite {
    async fn open(servers: usize) -> Self {
        let options = SiteOptions {
            engines: 0,
            gateways: 1,
            plain: 0,
            ..SiteOptions::default()
        };
        let mut site = TestSite::open(options).await.unwrap();
        // The time is for a busy machine.
        let route = |name: &str, kind: &str| {
            serde_json::json!({
                "name": format!("late-{name}"), "host": "site.example",
                "pathPrefix": format!("/{name}/late/"), "routeType": kind, "timeoutMs": 8_000,
                "targetLatencyMs": 200, "priority": 1, "maxAttempts": 3, "service": "plain",
            })
        };
        site.put_config(serde_json::json!([
            route("safe", "safe"),
            route("once", "unsafe"),
            route("live", "streaming"),
        ]));
        let mut opened = Self {
            relays: Vec::new(),
            servers: Vec::new(),
            site,
        };
        for number in 0..servers {
            let id = format!("plain-{number}");
            let server = PlainServer::open(&id).await.unwrap();
            let relay = RepeatingRelay::open(server.address).await.unwrap();
            opened.site.announce(&id, "plain", relay.address, "ready");
            opened.relays.push(relay);
            opened.servers.push(server);
        }
        opened
    }

    /// Sends a call whose body is its id.
    async fn call(&self, path: &str, id: &str) -> Option<FullResponse> {
        let headers = [("x-attempt-id", id), ("x-deadline-ms", DEADLINE)];
        let answer = self
            .site
            .send(0, Method::POST, path, &headers, id.to_owned());
        answer.await
    }

    /// Calls the servers until they answer, so that failures before are forgiven. No call under
    /// this path is answered twice.
    async fn restore(&self, id: &str) {
        let deadline = self.site.clock.now() + RESULTS_TIMEOUT;
        while self
            .call("/safe/x", id)
            .await
            .is_none_or(|answer| answer.status != 200)
        {
            assert!(self.site.clock.now() < deadline, "{id}: no server is used");
            sleep(20).await;
        }
    }

    fn runs_of(&self, id: &str) -> usize {
        self.servers.iter().map(|server| server.runs_of(id)).sum()
    }

    fn set_repetition(&self, repetition: Repetition) {
        for relay in &self.relays {
            relay.set_repetition(repetition);
        }
    }

    /// The number of second answers that were sent.
    fn sent(&self) -> usize {
        self.relays.iter().map(RepeatingRelay::sent).sum()
    }

    /// The requests that were sent over a connection after a second answer had arrived there.
    fn requests_after_late(&self) -> Vec<CarriedRequest> {
        let relays = self.relays.iter();
        relays
            .flat_map(RepeatingRelay::requests_after_late)
            .collect()
    }

    /// Waits until the servers have answered all calls, also those that are over.
    async fn wait_answered(&self) {
        let deadline = self.site.clock.now() + RESULTS_TIMEOUT;
        while self.relays.iter().any(|relay| relay.open_requests() > 0) {
            assert!(self.site.clock.now() < deadline, "a call is not answered");
            sleep(1).await;
        }
    }

    /// Sends a call that may be answered late for another, and returns what is wrong.
    async fn check_call(&self, path: &str, moment: LateMoment, id: &str) -> Vec<String> {
        let answer = self.call(path, id).await;
        self.wait_answered().await;
        let runs = self.runs_of(id);
        let mut violations = Vec::new();
        let is_safe = path.starts_with("/safe/");
        if !is_safe && runs > 1 {
            violations.push(format!("{id}: {runs} runs"));
        }
        // The call may have run at the server whose second answer came in place of its own.
        let may_be_lost = !is_safe && moment != LateMoment::WhileIdle;
        let Some(answer) = answer else {
            if path != "/live/late/x" || !may_be_lost {
                violations.push(format!("{id}: no answer"));
            }
            return violations;
        };
        let seal = format!("seal-{id}");
        let ids: Vec<_> = answer.headers.get_all("x-attempt-id").iter().collect();
        let is_own = answer.body == id
            && answer.header("x-response-signature") == Some(seal.as_str())
            && ids == [id]
            && answer.header("x-late").is_none();
        let is_true = match answer.status.as_u16() {
            200 => is_own,
            502 | 504 => may_be_lost && answer.header("x-late").is_none(),
            _ => false,
        };
        if !is_true {
            let (status, body) = (answer.status, &answer.body);
            violations.push(format!("{id}: {status} {body:?} {ids:?}, {runs} runs"));
        }
        violations
    }
}

/// Servers answer calls twice. Callers got the status, the headers and the body of another's
/// answer, or a late refusal for a call that ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_not_answered_by_a_late_answer_to_another() {
    let moments = [
        LateMoment::BeforeNext,
        LateMoment::LongBeforeNext,
        LateMoment::WhileIdle,
    ];
    let paths = ["/safe/late/x", "/once/late/x", "/live/late/x"];
    let tests = paths
        .into_iter()
        .flat_map(|path| moments.map(|moment| check_calls(path, moment)));
    let violations = futures_util::future::join_all(tests).await.concat();
    assert_eq!(violations, Vec::<String>::new());
}

/// Sends calls until one has met each late second answer; returns what is wrong.
async fn check_calls(path: &'static str, moment: LateMoment) -> Vec<String> {
    let calls = CallSite::open(2).await;
    let mut violations = Vec::new();
    for late in late_answers() {
        let name = format!("{}-{moment:?}-{}", &path[1..5], late.name);
        calls.restore(&format!("before-{name}")).await;
        calls.wait_answered().await;
        let sent = calls.sent();
        let after_late = calls.requests_after_late().len();
        calls.set_repetition(Repetition {
            answer: late.answer,
            moment,
            reader: path,
            skipped: 0,
            source: path,
        });
        let mut left = 3;
        for number in 0..MAX_CALLS {
            let id = format!("{name}-{number}");
            violations.extend(calls.check_call(path, moment, &id).await);
            if calls.sent() > sent {
                left -= 1;
            }
            if left == 0 {
                break;
            }
            if moment == LateMoment::WhileIdle {
                sleep(DELIVERY_TIME).await;
            }
        }
        if calls.sent() == sent {
            violations.push(format!("{name}: no second answer was sent"));
        }
        let after = calls.requests_after_late();
        if after.len() > after_late {
            violations.push(format!("{name}: on a connection after it: {after:?}"));
        }
    }
    violations
}

/// The paths of calls that are answered twice, and of calls that are hedged.
const ANSWERED_TWICE: &str = "/safe/late/twice";
const HEDGED: &str = "/safe/late/hedged";

/// How long a server takes for a call that is hedged. A hedged attempt is sent after about 200 ms.
const SLOW_TIME: Millis = Millis(1_000);

/// Servers answer calls twice, the second time in place of both attempts of a hedged call. Its
/// caller got the status, the headers and the body of another's answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_hedged_call_is_not_answered_by_late_answers_to_others() {
    let names = ["copy", "whole", "full", "failed", "bare", "twoIdsFull"];
    let mut lates = late_answers();
    lates.retain(|late| names.contains(&late.name));
    assert_eq!(lates.len(), names.len());
    let checks = lates.into_iter().map(check_hedged);
    let violations = futures_util::future::join_all(checks).await.concat();
    assert_eq!(violations, Vec::<String>::new());
}

/// Hedges calls until both attempts of one have met a late answer; returns what is wrong.
async fn check_hedged(late: LateAnswer) -> Vec<String> {
    let calls = CallSite::open(2).await;
    calls.restore(&format!("before-{}", late.name)).await;
    let mut violations = Vec::new();
    for round in 0..MAX_CALLS {
        let sent: Vec<usize> = calls.relays.iter().map(RepeatingRelay::sent).collect();
        calls.set_repetition(Repetition {
            answer: late.answer,
            moment: LateMoment::BeforeNext,
            reader: HEDGED,
            skipped: 0,
            source: ANSWERED_TWICE,
        });
        let name = format!("{}-{round}", late.name);
        // One server after the other refuses calls, so that each answers one last.
        for (refusing, id) in ["twice0", "twice1"].iter().enumerate() {
            calls.servers[refusing].set_fault(PlainFault::Full);
            calls.answer_twice(&format!("{name}-{id}")).await;
            calls.servers[refusing].set_fault(PlainFault::None);
        }

        let id = format!("{name}-hedged");
        let (wrong, both_run) = calls.check_hedged_call(&id).await;
        violations.extend(wrong);
        let mut relays = calls.relays.iter().zip(sent);
        let both_late = relays.all(|(relay, sent)| relay.sent() > sent);
        if both_run && both_late {
            let after = calls.requests_after_late();
            if !after.is_empty() {
                violations.push(format!("{name}: on a connection after it: {after:?}"));
            }
            return violations;
        }
    }
    violations.push(format!("{}: no two attempts met late answers", late.name));
    violations
}

impl CallSite {
    /// Calls the servers until the one that doesn't refuse calls has answered.
    async fn answer_twice(&self, name: &str) {
        let deadline = self.site.clock.now() + RESULTS_TIMEOUT;
        for number in 0.. {
            assert!(
                self.site.clock.now() < deadline,
                "{name}: no server answers"
            );
            let id = format!("{name}-{number}");
            let answer = self.call(ANSWERED_TWICE, &id).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
        }
    }

    /// Sends a call that both servers run at the same time, if it is hedged before the first has
    /// run it. Returns what is wrong, and whether both have run it.
    async fn check_hedged_call(&self, id: &str) -> (Vec<String>, bool) {
        let set_time = |time| {
            for server in &self.servers {
                server.set_service_time(time);
            }
        };
        set_time(SLOW_TIME);
        let both_run = async {
            let deadline = self.site.clock.now() + SLOW_TIME;
            let both_run = loop {
                let mut servers = self.servers.iter();
                let both_run = servers.all(|server| server.runs_of(id) > 0);
                if both_run || self.site.clock.now() >= deadline {
                    break both_run;
                }
                sleep(1).await;
            };
            // A third attempt takes no longer than usual.
            set_time(Millis(5));
            both_run
        };
        let checked = self.check_call(HEDGED, LateMoment::BeforeNext, id);
        tokio::join!(checked, both_run)
    }
}

/// A server refuses a call twice, the second time when the call is tried again under its id
/// and runs. The caller got a refusal of a call that ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_tried_again_is_not_answered_by_its_earlier_refusal() {
    let mut violations = Vec::new();
    for path in ["/safe/late/x", "/once/late/x", "/live/late/x"] {
        let calls = CallSite::open(1).await;
        for round in 0..ROUNDS {
            let id = format!("{}-{round}", &path[1..5]);
            calls.restore(&format!("before-{id}")).await;
            calls.servers[0].set_fault(PlainFault::Full);
            let kept = calls.relays[0].kept();
            calls.set_repetition(Repetition {
                answer: SecondAnswer::Copy,
                moment: LateMoment::BeforeNext,
                reader: path,
                skipped: 0,
                source: path,
            });
            let refused = calls.call(path, &id).await;
            let refused = refused.map(|answer| answer.status.as_u16());
            assert_eq!((refused, calls.runs_of(&id)), (Some(503), 0), "{id}");
            calls.servers[0].set_fault(PlainFault::None);
            let moment = LateMoment::BeforeNext;
            violations.extend(calls.check_call(path, moment, &id).await);
            assert!(
                calls.relays[0].kept() > kept,
                "no refusal was answered twice"
            );
            for connection in calls.relays[0].connections() {
                violations.extend(wrong_on_connection(&connection));
            }
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// The prefix of the path that batches are submitted under.
const BATCH_PREFIX: &str = "/roll/late/";

/// A batch of one item.
fn batch(id: &str, events: u64) -> Batch {
    Batch {
        prefix: BATCH_PREFIX.to_owned(),
        ..Batch::new(id, 1, 1, events)
    }
}

/// A site with one engine and one scorer, each behind a relay.
struct ItemSite {
    engine: RepeatingRelay,
    scorer: RepeatingRelay,
    site: TestSite,
}

impl ItemSite {
    async fn open() -> Self {
        let options = SiteOptions {
            engines: 1,
            gateways: 1,
            plain: 1,
            ..SiteOptions::default()
        };
        let mut site = TestSite::open(options).await.unwrap();
        // The times are for a busy machine.
        site.put_config(serde_json::json!([{
            "name": "late", "host": "site.example", "pathPrefix": BATCH_PREFIX,
            "routeType": "rollout", "timeoutMs": 8_000, "targetLatencyMs": 200,
            "resultDeadlineMs": 60_000, "itemTtlS": 60, "priority": 1, "maxAttempts": 3,
            "service": "engines",
        }]));
        let scorer = RepeatingRelay::open(site.plain[0].address).await.unwrap();
        site.announce(&site.plain[0].id, "plain", scorer.address, "ready");
        let engine = RepeatingRelay::open(site.engines[0].address).await.unwrap();
        site.move_engine(0, engine.address).unwrap();
        Self {
            engine,
            scorer,
            site,
        }
    }

    /// The relay that carries the requests for `path`.
    fn relay(&self, path: &str) -> &RepeatingRelay {
        match path {
            "/score/" => &self.scorer,
            _ => &self.engine,
        }
    }

    /// Has a batch run and returns what is wrong with its results.
    async fn check_batch(&self, batch: &Batch) -> Vec<String> {
        let runs_before = self.site.engines[0].runs().len();
        submit_until_accepted(&self.site, batch).await;
        let items = batch.item_ids().len();
        let results = self.site.read_results(batch, items, RESULTS_TIMEOUT).await;
        let mut violations = check_results(batch, &results);
        let runs = self.site.engines[0].runs().split_off(runs_before);
        for result in &results {
            let runs = runs.iter().filter(|run| run.item == result.id);
            let versions: Vec<u64> = runs.map(|run| run.version).collect();
            if result.versions.iter().any(|used| !versions.contains(used)) {
                let (id, listed) = (&result.id, &result.versions);
                violations.push(format!("{id}: ran under {versions:?}, listed {listed:?}"));
            }
        }
        violations
    }
}

/// What [`check_whole`] finds wrong.
fn check_results(batch: &Batch, results: &[ItemResult]) -> Vec<String> {
    let checked = catch_unwind(AssertUnwindSafe(|| check_whole(batch, results)));
    let Err(panic) = checked else {
        return Vec::new();
    };
    let message = panic.downcast_ref::<String>().cloned();
    vec![message.unwrap_or_else(|| format!("{results:?}"))]
}

/// Where and when the second answer to a request arrives.
#[derive(Clone, Copy)]
struct ItemTest {
    moment: LateMoment,
    /// The prefix of the paths of the requests in whose place it arrives.
    reader: &'static str,
    /// The prefix of the paths of the requests that are answered twice.
    source: &'static str,
}

/// What the late second answers of a test did.
#[derive(Default)]
struct ItemReport {
    /// The number of late answers that were sent. One is not if its connection carries no
    /// request after the one that was answered twice.
    sent: usize,
    violations: Vec<String>,
}

impl ItemTest {
    /// Whether weights are loaded before each batch.
    fn has_orders(&self) -> bool {
        [self.source, self.reader]
            .iter()
            .any(|path| path.starts_with("/redwingpond/"))
    }

    /// Runs batches until they have met each of `lates`.
    async fn check(self, lates: &[LateAnswer]) -> ItemReport {
        let items = ItemSite::open().await;
        let relay = items.relay(self.reader);
        let mut report = ItemReport::default();
        let mut version = 1;
        for number in 0..UNDISTURBED_BATCHES {
            let id = format!("undisturbed{number}");
            let wrong = self.check_batch(&items, &id, &mut version).await;
            report.violations.extend(wrong);
        }
        for late in lates {
            if self.has_orders() {
                // No order is pending, which would let the runner ignore an old report.
                sleep(SETTLE_TIME).await;
            }
            let (kept, sent) = (relay.kept(), relay.sent());
            relay.set_repetition(Repetition {
                answer: late.answer,
                moment: self.moment,
                reader: self.reader,
                skipped: 0,
                source: self.source,
            });
            if self.reader == REPORT {
                // The next reports are asked for meanwhile.
                sleep(SETTLE_TIME).await;
            }
            for number in 0..MAX_BATCHES {
                let id = format!("{}{number}", late.name);
                let wrong = self.check_batch(&items, &id, &mut version).await;
                report.violations.extend(wrong);
                if relay.sent() > sent {
                    break;
                }
            }
            if relay.kept() == kept {
                let name = late.name;
                report
                    .violations
                    .push(format!("{name}: nothing was answered twice"));
            }
        }
        let last = self.check_batch(&items, "last", &mut version).await;
        report.violations.extend(last);
        report.sent = relay.sent();
        self.check_requests(&items, version, &mut report);
        let name = format!("{} for {} {:?}", self.source, self.reader, self.moment);
        for violation in &mut report.violations {
            *violation = format!("{name}: {violation}");
        }
        report
    }

    /// Has a batch of one item run, under the next version of the weights if the test has
    /// orders; returns what is wrong.
    async fn check_batch(&self, items: &ItemSite, id: &str, version: &mut u64) -> Vec<String> {
        let mut batch = batch(id, 4);
        if self.has_orders() {
            *version += 1;
            items.site.name_version(*version);
            batch.least_version = *version;
        }
        items.check_batch(&batch).await
    }

    /// Checks the requests that the engine and the relay got.
    fn check_requests(&self, items: &ItemSite, version: u64, report: &mut ItemReport) {
        let engine = &items.site.engines[0];
        let orders = engine.orders();
        let ordered: Vec<u64> = orders.iter().map(|(_, _, version)| *version).collect();
        if ordered != (2..=version).collect::<Vec<u64>>() {
            report.violations.push(format!("ordered {ordered:?}"));
        }
        // A runner may repeat its last order, but sends none that an earlier report asks for.
        let expected = engine.expected_orders();
        let is_old = |(expected, accepted): &(u64, u64)| expected + 1 < *accepted;
        if expected.iter().any(is_old) {
            report
                .violations
                .push(format!("orders expect {expected:?}"));
        }
        let relay = items.relay(self.reader);
        for connection in relay.connections() {
            report.violations.extend(wrong_on_connection(&connection));
        }
        let after = relay.requests_after_late();
        // A request may be under way when a late answer is sent.
        let allowed = match self.moment {
            LateMoment::WhileIdle => report.sent,
            LateMoment::BeforeNext | LateMoment::LongBeforeNext => 0,
        };
        if after.len() > allowed {
            report
                .violations
                .push(format!("after a late answer: {after:?}"));
        }
    }
}

/// What is wrong with the requests on a connection: no id goes twice over one, an order has one of
/// its own, and reports share none with other requests.
fn wrong_on_connection(connection: &CarriedRequests) -> Vec<String> {
    let requests = &connection.requests;
    let is_report = |request: &CarriedRequest| request.path == REPORT;
    let reports = requests.iter().filter(|request| is_report(request)).count();
    let has_order = requests.iter().any(|request| request.path == ORDER);
    let ids = requests.iter().map(|request| request.id.as_str());
    let ids: Vec<&str> = ids.filter(|id| !id.is_empty()).collect();
    let distinct: BTreeSet<&str> = ids.iter().copied().collect();
    let mut wrong = Vec::new();
    if distinct.len() < ids.len() {
        wrong.push(format!("an id twice on a connection: {ids:?}"));
    }
    if has_order && requests.len() > 1 {
        wrong.push(format!("an order among others: {requests:?}"));
    }
    if reports > 0 && reports < requests.len() {
        wrong.push(format!("reports among others: {requests:?}"));
    }
    wrong
}

/// Runs `tests` with all of `lates`; returns the number of late answers that were sent.
async fn check_items(tests: &[ItemTest], lates: &[LateAnswer]) -> usize {
    let checks = tests.iter().map(|test| test.check(lates));
    let reports = futures_util::future::join_all(checks).await;
    let violations = reports.iter().flat_map(|report| &report.violations);
    let violations: Vec<&String> = violations.collect();
    assert_eq!(violations, Vec::<&String>::new());
    reports.iter().map(|report| report.sent).sum()
}

/// Late answers before those to the next requests of the same kind.
fn before_next(path: &'static str) -> [ItemTest; 2] {
    [LateMoment::BeforeNext, LateMoment::LongBeforeNext].map(|moment| ItemTest {
        moment,
        reader: path,
        source: path,
    })
}

/// An engine answers runs twice. Items were listed with the texts of others, or given up for
/// the failures of others.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_not_completed_by_a_late_answer_to_another() {
    let sent = check_items(&before_next("/roll/"), &late_answers()).await;
    assert!(sent > 0, "no late answer was sent");
}

/// A scorer answers calls twice. Items got the scores of others.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_has_no_score_of_a_late_answer_to_another() {
    let sent = check_items(&before_next("/score/"), &late_answers()).await;
    assert!(sent > 0, "no late answer was sent");
}

/// The late answers that differ for requests without an id.
fn late_answers_without_id() -> Vec<LateAnswer> {
    let names = [
        "copy",
        "stream",
        "full",
        "misdirected",
        "failed",
        "accepted",
        "conflict",
        "report",
    ];
    let mut lates = late_answers();
    lates.retain(|late| names.contains(&late.name));
    lates
}

/// An engine answers orders or reports twice. A runner ordered weights that an earlier report
/// asked for.
#[tokio::test(flavor = "multi_thread")]
async fn orders_and_reports_are_not_answered_by_late_answers() {
    let [orders, reports] = [ORDER, REPORT].map(|path| ItemTest {
        moment: LateMoment::BeforeNext,
        reader: path,
        source: path,
    });
    let lates = late_answers_without_id();
    let (orders, reports) = ([orders], [reports]);
    let (_, sent) = tokio::join!(check_items(&orders, &lates), check_items(&reports, &lates));
    // No order follows another on its connection, but each report does.
    assert_eq!(sent, lates.len());
}

/// An engine answers runs, orders and reports twice, where the answers to requests of another
/// kind are expected.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_answered_by_late_answers_of_another_kind() {
    let pairs = [
        (ORDER, "/roll/"),
        (REPORT, "/roll/"),
        ("/roll/", ORDER),
        ("/roll/", REPORT),
        (ORDER, REPORT),
        (REPORT, ORDER),
    ];
    let tests = pairs.map(|(source, reader)| ItemTest {
        moment: LateMoment::BeforeNext,
        reader,
        source,
    });
    check_items(&tests, &late_answers()[..1]).await;
}

/// Second answers wait on idle connections. The next requests are sent over others.
#[tokio::test(flavor = "multi_thread")]
async fn items_are_whole_when_late_answers_wait_on_idle_connections() {
    let paths = ["/roll/", "/score/", ORDER, REPORT];
    let tests = paths.map(|path| ItemTest {
        moment: LateMoment::WhileIdle,
        reader: path,
        source: path,
    });
    let lates = &late_answers()[..4];
    let sent = check_items(&tests, lates).await;
    assert_eq!(sent, tests.len() * lates.len());
}

/// A copy of the answer to a request, sent before the answer to the next one for `path`.
fn copy_before_next(path: &'static str, skipped: usize) -> Repetition {
    Repetition {
        answer: SecondAnswer::Copy,
        moment: LateMoment::BeforeNext,
        reader: path,
        skipped,
        source: path,
    }
}

/// An item comes again in a later batch under its id, after the weights changed. It was listed
/// with the text and the version of its earlier run.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_comes_again_is_not_completed_by_its_earlier_run() {
    let items = ItemSite::open().await;
    let mut violations = Vec::new();
    for round in 0..ROUNDS {
        let prefix = format!("again{round}");
        let kept = items.engine.kept();
        items.engine.set_repetition(copy_before_next("/roll/", 0));
        for part in 0..2 {
            let engine = &items.site.engines[0];
            engine.set_version(engine.version() + part);
            let batch = Batch {
                item_prefix: prefix.clone(),
                ..batch(&format!("{prefix}p{part}"), 4)
            };
            violations.extend(items.check_batch(&batch).await);
        }
        assert!(items.engine.kept() > kept, "no run was answered twice");
    }
    for connection in items.engine.connections() {
        violations.extend(wrong_on_connection(&connection));
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// An engine or a scorer fails a request twice of the three times that are allowed, refuses it
/// or answers only a part of it, and repeats that answer when the request is tried again. Items
/// were given up after two failures.
#[tokio::test(flavor = "multi_thread")]
async fn items_tried_again_are_not_answered_by_their_earlier_failures() {
    let mut violations = Vec::new();
    for round in 0..ROUNDS {
        let failed = batch(&format!("failed{round}"), 4);
        let cut = batch(&format!("cut{round}"), 7);
        let refused = batch(&format!("refused{round}"), 4);
        let unscored = batch(&format!("unscored{round}"), 4);

        let items = ItemSite::open().await;
        items.engine.set_repetition(copy_before_next("/roll/", 1));
        items.site.engines[0].set_faults(EngineFaults {
            failing_runs: vec![failed.item_id(0, 0); 2],
            ..EngineFaults::default()
        });
        violations.extend(items.check_batch(&failed).await);

        items.engine.set_repetition(copy_before_next("/roll/", 0));
        items.site.engines[0].set_faults(EngineFaults {
            refused_runs: vec![refused.item_id(0, 0)],
            ..EngineFaults::default()
        });
        violations.extend(items.check_batch(&refused).await);

        items.engine.set_repetition(copy_before_next("/roll/", 0));
        items.site.engines[0].set_faults(EngineFaults {
            cut_after: Some(2),
            cut_cleanly: true,
            ..EngineFaults::default()
        });
        violations.extend(items.check_batch(&cut).await);

        items.site.engines[0].set_faults(EngineFaults::default());
        items.scorer.set_repetition(copy_before_next("/score/", 1));
        items.site.plain[0].fail_next(2);
        violations.extend(items.check_batch(&unscored).await);
        let kept = (items.engine.kept(), items.scorer.kept());
        assert!(kept.0 >= 3 && kept.1 >= 1, "answered twice: {kept:?}");
        for relay in [&items.engine, &items.scorer] {
            for connection in relay.connections() {
                violations.extend(wrong_on_connection(&connection));
            }
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}
