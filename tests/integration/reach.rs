//! When a peer counts as unreachable, by the results of calls to it.

use redwingpond::net::Reachability;
use std::time::Duration;

/// The result of a call.
#[derive(Clone, Copy)]
enum Call {
    Answered,
    Missed,
}

/// Two missed answers in a row make a peer unreachable; an answer makes it reachable
/// again.
#[test]
fn a_peer_is_unreachable_after_two_missed_answers() {
    use Call::{Answered, Missed};
    struct Test {
        unreachable: bool,
        calls: &'static [Call],
        /// How often a prober has to be started.
        probes: usize,
        recoveries: u64,
    }

    for (number, test) in [
        Test {
            unreachable: false,
            calls: &[Missed],
            probes: 0,
            recoveries: 0,
        },
        // Single lost answers don't count.
        Test {
            unreachable: false,
            calls: &[Missed, Answered, Missed, Answered],
            probes: 0,
            recoveries: 0,
        },
        // Only one prober is started, however many calls miss their answers.
        Test {
            unreachable: true,
            calls: &[Missed, Missed, Missed, Missed],
            probes: 1,
            recoveries: 0,
        },
        Test {
            unreachable: false,
            calls: &[Missed, Missed, Answered, Answered],
            probes: 1,
            recoveries: 1,
        },
        Test {
            unreachable: true,
            calls: &[Missed, Missed, Answered, Missed, Missed],
            probes: 2,
            recoveries: 1,
        },
    ]
    .into_iter()
    .enumerate()
    {
        let peer = Reachability::default();
        let mut probes = 0;
        for call in test.calls {
            match call {
                Answered => peer.record_answer(),
                Missed => probes += usize::from(peer.record_miss()),
            }
        }
        let seen = (peer.is_unreachable(), probes, peer.recoveries());
        assert_eq!(
            seen,
            (test.unreachable, test.probes, test.recoveries),
            "case {number}"
        );
    }
}

/// A call waiting on a dead connection is woken by the peer's recovery, also if that came
/// before the call began to wait. A call that began after the recovery is not woken by it.
#[tokio::test]
async fn a_recovery_wakes_calls_from_before() {
    let peer = Reachability::default();
    let soon = Duration::from_millis(20);
    let before = peer.recoveries();
    assert!(
        tokio::time::timeout(soon, peer.wait_recovery_after(before))
            .await
            .is_err()
    );
    peer.record_miss();
    peer.record_miss();
    assert!(
        tokio::time::timeout(soon, peer.wait_reachable())
            .await
            .is_err()
    );
    let (woken, ()) = tokio::join!(
        tokio::time::timeout(soon, peer.wait_recovery_after(before)),
        async { peer.record_answer() }
    );
    woken.unwrap();
    peer.wait_reachable().await;
    peer.wait_recovery_after(before).await;
    let after = peer.recoveries();
    assert!(
        tokio::time::timeout(soon, peer.wait_recovery_after(after))
            .await
            .is_err()
    );
}
