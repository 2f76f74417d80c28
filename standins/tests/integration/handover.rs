//! Long texts on an engine that is announced as draining.

use super::site::{
    RESULTS_TIMEOUT,
    check_whole,
    sleep, //
};
use redwing_standins::site::{
    Batch,
    Engine,
    Run,
    SiteOptions,
    StoreFaults,
    TestSite, //
};
use redwingpond::{
    base::Millis,
    batch::{PARTIALS, batch_part},
    policy::load_features::LoadFeatures, //
};

const EVENT_TIME: u64 = 20;

const POLL_INTERVAL: u64 = 5;

/// A site with handovers, or without them, whose engines take [`EVENT_TIME`] for an event.
async fn open_site(handover: bool) -> TestSite {
    let features = LoadFeatures {
        handover,
        ..LoadFeatures::default()
    };
    let options = SiteOptions {
        drain: Some(Millis(3_000)),
        features,
        ..SiteOptions::default()
    };
    let site = TestSite::open(options).await.unwrap();
    for engine in &site.engines {
        engine.set_event_time(Millis(EVENT_TIME));
    }
    site
}

/// The runs of the batch's items at `engine`.
fn runs_of(batch: &Batch, engine: &Engine) -> Vec<Run> {
    let items = batch.item_ids();
    let runs = engine.runs().into_iter();
    runs.filter(|run| items.contains(&run.item)).collect()
}

/// Announces an engine that runs items of `batch` as draining. Returns it and these runs.
fn announce_leaving<'a>(site: &'a TestSite, batch: &Batch) -> (&'a Engine, Vec<Run>) {
    let busy = |engine: &&Engine| !runs_of(batch, engine).is_empty();
    let leaving = site.engines.iter().find(busy).expect("the batch runs");
    site.announce_engine(leaving, "draining");
    (leaving, runs_of(batch, leaving))
}

/// The runs at other engines than `leaving` of the items that have one of the runs `first`.
fn moved_runs(site: &TestSite, leaving: &Engine, first: &[Run]) -> Vec<Run> {
    let others = site.engines.iter().filter(|engine| engine.id != leaving.id);
    let elsewhere = others.flat_map(Engine::runs);
    let same = |run: &Run| first.iter().any(|other| other.item == run.item);
    elsewhere.filter(same).collect()
}

/// How many events an engine may be ahead of its runner when texts are handed over.
const EVENTS_UNDER_WAY: u64 = 5;

/// The most events that a leaving engine makes of a text after the copy that goes on elsewhere.
const MAX_WASTED_EVENTS: u64 = 30;

/// How long a run whose text was saved once may have lasted when its engine is announced as
/// draining: texts are saved after 700 ms, and not again before [`SECOND_SAVE_TIME`].
const MAX_RUN_TIME: Millis = Millis(1_150);

const SECOND_SAVE_TIME: Millis = Millis(1_400);

/// How often a test is begun again on a busy machine, on which a text may be saved a second time,
/// or be taken from a runner that seems to be gone, before its engine leaves.
const MAX_STARTS: usize = 20;

/// Long texts, each of which runs at one engine and was saved once.
struct LongTexts {
    batch: Batch,
    site: TestSite,
    /// An engine that runs some of the texts.
    leaving: usize,
    /// The runs of this engine.
    runs: Vec<Run>,
    /// How many events the texts of these runs have that no copy has: a copy that was saved
    /// before has fewer.
    unsaved: Vec<u64>,
}

impl LongTexts {
    /// Announces an engine with long texts as draining; returns the runs with which these go on
    /// elsewhere.
    async fn leave(handover: bool) -> (Self, Vec<Run>) {
        for _ in 0..MAX_STARTS {
            let texts = Self::start(handover).await;
            if !texts.are_ready() {
                continue;
            }
            texts.site.announce_engine(texts.leaving(), "draining");
            let moved = texts.wait_moved().await;
            // A text that is not handed over may be saved a second time before it goes on.
            if handover || texts.are_moved_in_time(&moved) {
                return (texts, moved);
            }
        }
        panic!("the machine is too slow for the times of this test");
    }

    async fn start(handover: bool) -> Self {
        let site = open_site(handover).await;
        let batch = Batch::new("leaving", 3, 2, 250);
        assert_eq!(site.submit(0, &batch).await, Some(202));
        let items = batch.item_ids().len();
        let part = batch_part(&batch.id);
        let deadline = site.clock.now() + RESULTS_TIMEOUT;
        while site.store.rows_in_table(PARTIALS, &part) < items {
            assert!(site.clock.now() < deadline, "not all texts are saved");
            sleep(POLL_INTERVAL).await;
        }
        // With the most runs: an idle runner might run the texts of another engine a second time,
        // and then has no room for those of this one.
        let count = |index: &usize| runs_of(&batch, &site.engines[*index]).len();
        let leaving = (0..site.engines.len()).max_by_key(count);
        let leaving = leaving.expect("a site has engines");
        let mut texts = Self {
            leaving,
            runs: runs_of(&batch, &site.engines[leaving]),
            unsaved: Vec::new(),
            batch,
            site,
        };
        texts.unsaved = texts.wait_events(1).await;
        if handover {
            texts.wait_events(EVENTS_UNDER_WAY).await;
        }
        texts
    }

    fn leaving(&self) -> &Engine {
        &self.site.engines[self.leaving]
    }

    /// Whether each text has one run, and none is about to be saved again.
    fn are_ready(&self) -> bool {
        let engines = self.site.engines.iter();
        let runs = engines.flat_map(|engine| runs_of(&self.batch, engine));
        let now = self.leaving().now();
        let in_time = |run: &Run| now.since(run.at) < MAX_RUN_TIME;
        runs.count() == self.batch.item_ids().len() && self.runs.iter().all(in_time)
    }

    /// Whether the texts went on with `moved` before they could be saved a second time.
    fn are_moved_in_time(&self, moved: &[Run]) -> bool {
        let in_time = |run: &Run| {
            let mut first = self.runs.iter().filter(|first| first.item == run.item);
            first.all(|first| run.at.since(first.at) < SECOND_SAVE_TIME)
        };
        moved.iter().all(in_time)
    }

    /// Waits until the leaving engine has sent `more` events of each text. Returns how many
    /// events these have then.
    async fn wait_events(&self, more: u64) -> Vec<u64> {
        let events = || {
            let runs = self.runs.iter();
            runs.map(|run| self.leaving().events_of(&run.item))
        };
        let before: Vec<u64> = events().collect();
        let deadline = self.site.clock.now() + RESULTS_TIMEOUT;
        while events()
            .zip(&before)
            .any(|(now, before)| now < before + more)
        {
            assert!(self.site.clock.now() < deadline, "a run makes no events");
            sleep(POLL_INTERVAL).await;
        }
        events().collect()
    }

    /// Waits until the texts of the leaving engine run at other engines; returns these runs.
    async fn wait_moved(&self) -> Vec<Run> {
        let deadline = self.site.clock.now() + RESULTS_TIMEOUT;
        loop {
            let moved = moved_runs(&self.site, self.leaving(), &self.runs);
            if moved.len() >= self.runs.len() {
                return moved;
            }
            assert!(
                self.site.clock.now() < deadline,
                "only {moved:?} go on elsewhere"
            );
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Guards against long texts that stay on a leaving engine, go on elsewhere from an old copy,
/// or are lost or listed twice; and against any change while the feature is off: other
/// runners then continue from the last copy, and the leaving engine goes on as well.
#[tokio::test(flavor = "multi_thread")]
async fn long_texts_of_a_leaving_engine_go_on_elsewhere() {
    for handover in [false, true] {
        let (texts, moved) = LongTexts::leave(handover).await;
        let LongTexts { batch, site, .. } = &texts;
        assert_eq!(texts.runs.len(), moved.len(), "runs that go on elsewhere");
        check_whole(batch, &site.read_results(batch, 6, RESULTS_TIMEOUT).await);

        for (before, unsaved) in texts.runs.iter().zip(&texts.unsaved) {
            let item = &before.item;
            let run = moved.iter().find(|run| run.item == *item).unwrap();
            let kept = run.after.map_or(0, |after| after + 1);
            let fresh = kept >= *unsaved;
            assert_eq!(
                fresh, handover,
                "{item}: {kept} of {unsaved} events were kept"
            );
            // The leaving engine goes on with a text that was not handed over.
            let wasted = texts.leaving().events_of(item) - kept;
            let stops = wasted <= MAX_WASTED_EVENTS;
            assert_eq!(stops, handover, "{item}: {wasted} events were wasted");
        }
    }
}

/// Guards against second runs of texts that end while the leaving engine still serves.
#[tokio::test(flavor = "multi_thread")]
async fn short_texts_end_on_the_leaving_engine() {
    for handover in [false, true] {
        let site = open_site(handover).await;
        // This batch fills all engines, so that each runner learns how long a text takes.
        let known = Batch {
            hinted: true,
            ..Batch::new("known", 6, 2, 50)
        };
        assert_eq!(site.submit(0, &known).await, Some(202));
        let results = site.read_results(&known, 12, RESULTS_TIMEOUT).await;
        check_whole(&known, &results);
        let batch = Batch {
            hinted: true,
            ..Batch::new("short", 3, 2, 100)
        };
        assert_eq!(site.submit(0, &batch).await, Some(202));
        sleep(1_200).await;
        let (leaving, first) = announce_leaving(&site, &batch);
        check_whole(&batch, &site.read_results(&batch, 6, RESULTS_TIMEOUT).await);
        let moved = moved_runs(&site, leaving, &first);
        assert_eq!(moved.is_empty(), handover, "{moved:?}");
    }
}

/// Guards against texts that are lost, or stopped here, although the store did not confirm
/// that it has them.
#[tokio::test(flavor = "multi_thread")]
async fn texts_run_on_while_the_store_confirms_no_save() {
    let site = open_site(true).await;
    let batch = Batch::new("unsaved", 3, 2, 200);
    assert_eq!(site.submit(0, &batch).await, Some(202));
    sleep(1_000).await;
    site.store.set_faults(StoreFaults {
        lost_answers: Some(1),
        ..StoreFaults::default()
    });
    let (leaving, _) = announce_leaving(&site, &batch);
    sleep(900).await;
    let sent = leaving.events();
    sleep(300).await;
    assert!(leaving.events() > sent, "the runs were stopped");
    site.store.set_faults(StoreFaults::default());
    check_whole(&batch, &site.read_results(&batch, 6, RESULTS_TIMEOUT).await);
}

/// Guards against second runs that are decided without the texts' lengths while
/// `overload.uneven` is on, against texts left at a straggler, and against a change while the
/// feature is off: then all texts of a slow engine are joined.
#[tokio::test(flavor = "multi_thread")]
async fn long_texts_of_a_slow_engine_are_joined() {
    for (uneven, events, joined) in [(false, 60, true), (true, 60, false), (true, 200, true)] {
        let features = LoadFeatures {
            uneven,
            ..LoadFeatures::default()
        };
        let options = SiteOptions {
            features,
            ..SiteOptions::default()
        };
        let site = TestSite::open(options).await.unwrap();
        let slow = &site.engines[0];
        for engine in &site.engines {
            engine.set_event_time(Millis(10));
        }
        slow.set_event_time(Millis(22));
        // By this batch the runners learn the paces and how long a text takes.
        let known = Batch {
            hinted: true,
            ..Batch::new("known", 6, 2, 120)
        };
        assert_eq!(site.submit(0, &known).await, Some(202));
        let results = site.read_results(&known, 12, RESULTS_TIMEOUT).await;
        check_whole(&known, &results);
        // Until all runners have each other's paces.
        sleep(1_200).await;
        let batch = Batch {
            hinted: true,
            ..Batch::new("uneven", 6, 2, events)
        };
        assert_eq!(site.submit(0, &batch).await, Some(202));
        let results = site.read_results(&batch, 12, RESULTS_TIMEOUT).await;
        check_whole(&batch, &results);
        let first = runs_of(&batch, slow);
        assert!(!first.is_empty(), "the slow engine had no runs");
        let moved = moved_runs(&site, slow, &first);
        assert_eq!(!moved.is_empty(), joined, "{uneven}, {events} events");
    }
}
