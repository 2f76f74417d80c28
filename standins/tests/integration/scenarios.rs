use super::stage::Stage;

/// Each file under `tests/scenarios` begins with its story.
#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut stage = Stage::new();
        file.run(|case| stage.run(case));
    });
}
