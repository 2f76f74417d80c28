//! Starts and stops of a program's duties.

use redwingpond::{
    base::Millis,
    duty::{self, Phase, ProgramHandle}, //
};
use std::{
    sync::mpsc,
    time::Duration, //
};

/// A program is stopped while its duties are still starting, as on an instance
/// that is replaced at once. Every duty ends: one that came up after the others
/// had ended once waited for good, and the program was killed at the end of its
/// grace.
#[test]
fn a_stop_at_the_start_ends_every_duty() {
    let (sender, ended) = mpsc::channel();
    std::thread::spawn(move || {
        for round in 0..200_u64 {
            let mut handle = ProgramHandle::open(Millis(1_000)).unwrap();
            let supervisor = handle.supervisor().clone();
            for name in ["first", "second"] {
                let late = (name == "second").then(|| Duration::from_micros(round * 7));
                let duty = duty::spawn(name, &supervisor, move |context| {
                    std::thread::sleep(late.unwrap_or_default());
                    async move { context.reached(Phase::Stopped).await }
                });
                handle.add(duty.unwrap());
            }
            drop(handle);
        }
        sender.send(()).unwrap();
    });
    let waited = ended.recv_timeout(Duration::from_secs(30));
    assert!(waited.is_ok(), "a duty never ended");
}
