//! Whether a peer counts as away, by what calls to it showed.

use redwingpond::net::Reachability;
use std::time::Duration;

/// What a call showed.
#[derive(Clone, Copy)]
enum Call {
    Answered,
    Missed,
}

#[test]
fn a_peer_is_away_after_two_missed_answers() {
    use Call::{Answered, Missed};
    struct Test {
        away: bool,
        calls: &'static [Call],
        probes: usize,
        returns: u64,
    }

    for (number, test) in [
        Test {
            away: false,
            calls: &[Missed],
            probes: 0,
            returns: 0,
        },
        // Single answers are lost all the time.
        Test {
            away: false,
            calls: &[Missed, Answered, Missed, Answered],
            probes: 0,
            returns: 0,
        },
        // One prober is enough, however many calls wait.
        Test {
            away: true,
            calls: &[Missed, Missed, Missed, Missed],
            probes: 1,
            returns: 0,
        },
        Test {
            away: false,
            calls: &[Missed, Missed, Answered, Answered],
            probes: 1,
            returns: 1,
        },
        Test {
            away: true,
            calls: &[Missed, Missed, Answered, Missed, Missed],
            probes: 2,
            returns: 1,
        },
    ]
    .into_iter()
    .enumerate()
    {
        let reach = Reachability::default();
        let mut probes = 0;
        for call in test.calls {
            match call {
                Answered => reach.record_answer(),
                Missed => probes += usize::from(reach.record_miss()),
            }
        }
        let seen = (reach.is_unreachable(), probes, reach.recoveries());
        assert_eq!(
            seen,
            (test.away, test.probes, test.returns),
            "case {number}"
        );
    }
}

/// Calls that hang on dead connections are told of the peer's return, also when it was
/// back before they asked; those from after it are not.
#[tokio::test]
async fn a_return_is_told_to_calls_from_before() {
    let reach = Reachability::default();
    let soon = Duration::from_millis(20);
    let before = reach.recoveries();
    assert!(
        tokio::time::timeout(soon, reach.wait_recovery_after(before))
            .await
            .is_err()
    );
    reach.record_miss();
    reach.record_miss();
    assert!(
        tokio::time::timeout(soon, reach.wait_reachable())
            .await
            .is_err()
    );
    let (told, ()) = tokio::join!(
        tokio::time::timeout(soon, reach.wait_recovery_after(before)),
        async { reach.record_answer() }
    );
    told.unwrap();
    reach.wait_reachable().await;
    reach.wait_recovery_after(before).await;
    let after = reach.recoveries();
    assert!(
        tokio::time::timeout(soon, reach.wait_recovery_after(after))
            .await
            .is_err()
    );
}
