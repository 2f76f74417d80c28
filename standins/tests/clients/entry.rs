//! Crowds before a `redwing-entry`, whose settings name no limits.

use super::{
    crowd::{Crowd, Framing, Request, ask},
    program::{Program, free_port, run_program},
    stage::{folder, turn}, //
};
use std::time::Duration;

const MB: usize = 1024 * 1024;

/// The memory of an instance whose settings name none, and its descriptors.
const DEFAULT_MEMORY_MB: usize = 512;
const DEFAULT_DESCRIPTORS: usize = 8_200;

/// A request for a class that does not exist, which is answered 404.
const ORDINARY: &[u8] = b"GET /v1/app/none/none HTTP/1.1\r\nhost: entry\r\n\r\n";

/// Large bodies of trainers fill an entry.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_at_an_entry_that_stop() {
    let _turn = turn().await;
    let folder = folder();
    let (platform, callers) = (free_port(), free_port());
    let listen = platform.to_string();
    let _platform = Program::start(&folder, "standin", &["platform", "--listen", &listen], "");
    let settings = format!(
        "instance: entry-1\ndata_centre: north\nkey: change me\nplatform: {platform}\n\
         listen: {{admin: \"{}\", callers: \"{callers}\", links: \"{}\"}}\n",
        free_port(),
        free_port()
    );
    // An entry without shared settings refuses all calls.
    let pools = folder.join("pool.yaml");
    std::fs::write(&pools, "kind: service\n").expect("a pool's settings");
    let pools = pools.to_string_lossy().into_owned();
    let apply = [
        "settings",
        "apply",
        "pools/ledger",
        &pools,
        "--platform",
        &listen,
    ];
    tokio::time::sleep(Duration::from_millis(500)).await;
    run_program("redwing", &apply);
    let mut entry = Program::start(&folder, "entry", &[], &settings);
    let answered = async || {
        for _ in 0..60 {
            let status = ask(callers, ORDINARY, Duration::from_secs(5)).await;
            if status == Some(404) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        false
    };
    assert!(answered().await, "the entry did not start");
    let request = Request {
        body: 15 * MB,
        framing: Framing::Length,
        missing: 1,
        path: "/v1/teams/tema/steps",
    };
    let crowd = Crowd::open(callers, 40, |number| request.bytes(&number.to_string())).await;
    assert!(answered().await, "no ordinary request was answered");
    assert_eq!(crowd.len(), 40);
    entry.check(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS);
    let _ = std::fs::remove_dir_all(folder);
}
