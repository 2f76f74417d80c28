//! Start and stop of a program's duties, the threads that it is made of.

use redwingpond::{
    base::Millis,
    duty::{self, Phase, ProgramHandle}, //
};
use std::{
    sync::mpsc,
    time::Duration, //
};

/// A program is stopped while its duties are still starting, as on an instance that is
/// replaced at once. Every duty must end. A duty that started after the others had
/// ended waited forever, and the program was killed at the end of its grace period.
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
