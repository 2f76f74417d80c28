//! Runs the scenario files.

use super::stage::Stage;

/// Each file under `tests/scenarios` begins with a comment on the failure that it
/// guards against.
#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut stage = Stage::new();
        file.run(|case| stage.run(case));
    });
}
