//! Results of batches that are asked for by many at once.

use super::{
    crowd::Crowd,
    stage::{SMALL, Stage}, //
};
use bytes::Bytes;
use redwing_standins::site::Store;
use redwingpond::{
    base::Millis,
    batch::{
        BODIES,
        BatchWrites,
        HeadBuilder,
        Item,
        Log,
        Sample,
        SampleState,
        Submission,
        WORK,
        append_transaction, //
    },
    store::Transaction, //
};

/// The number of items in the batch.
const ITEMS: usize = 60;

/// Writes a batch whose results are listed, each with a text of 30 KB.
fn store_batch(store: &Store, id: &str) {
    let item = |number: usize| Item {
        body: Bytes::from(vec![b'b'; 16 * 1024]),
        expected: 0,
        group: format!("g{number}"),
        headers: Vec::new(),
        id: format!("{id}x{number}"),
        path: "/roll/run".to_owned(),
        scorer: None,
    };
    let submission = Submission {
        host: "site.example".to_owned(),
        id: id.to_owned(),
        least_version: 1,
        model: "m0".to_owned(),
        needed: 0,
        path: format!("/roll/{id}"),
        priority: None,
        step: 0,
        workspace: None,
    };
    let items: Vec<Item> = (0..ITEMS).map(item).collect();
    let mut head = HeadBuilder::new(&submission, Millis(1));
    assert!(items.iter().all(|item| head.push(item)));
    let head = head.finish().expect("a head that fits");
    let item = |index: usize| Ok::<Item, ()>(items[index].clone());
    let mut writes = BatchWrites::new(id, head, item);
    while let Ok(Some((transaction, _))) = writes.next_transaction() {
        write(store, &transaction);
    }
    let sample = |item: &Item| Sample {
        id: item.id.clone(),
        score: None,
        state: SampleState::Succeeded,
        text: "t".repeat(30 * 1024),
        versions: vec![1],
    };
    let samples = items.iter().map(sample).enumerate();
    let samples: Vec<(u16, Sample)> = samples.map(|(n, sample)| (n as u16, sample)).collect();
    let (_, listed) = append_transaction(id, &Log::default(), 0, &samples);
    write(store, &listed);
    assert!(store.rows_in_table(BODIES, &format!("batch-{id}")) > 0);
    assert!(store.rows_in_table(WORK, &format!("batch-{id}")) > 0);
}

fn write(store: &Store, transaction: &Transaction) {
    for (key, value) in &transaction.set {
        store.put_row(key.table, &key.part, &key.key, value);
    }
}

/// What many clients ask for at once.
struct Test {
    count: usize,
    target: &'static str,
    /// How often each client asks on its connection.
    times: usize,
}

impl Test {
    async fn run(self) {
        let mut stage = Stage::open(SMALL).await;
        store_batch(&stage.store, "listed");
        let head = format!(
            "GET {} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: page\r\n\r\n",
            self.target
        );
        let asked = head.repeat(self.times).into_bytes();
        let crowd = Crowd::open(stage.callers, self.count, |_| asked.clone()).await;
        stage.wait_answered("ordinary").await;
        assert_eq!(crowd.len(), self.count);
        stage.check();
    }
}

/// Pages of results that nobody reads fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn pages_that_nobody_reads() {
    let test = Test {
        count: 150,
        target: "/redwingpond/lots/listed?startAfter=0",
        times: 3,
    };
    test.run().await;
}

/// Bodies of items that nobody reads fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn item_bodies_that_nobody_reads() {
    let test = Test {
        count: 600,
        target: "/redwingpond/items/listed?id=listedx3",
        times: 40,
    };
    test.run().await;
}
