//! How `redwing steps` breaks down the duration of a step, from log lines.

use redwingpond::operator::StepTimes;

/// The log lines of a late step, out of order. Its last result waited 1.2 s for a
/// runner, its first engine was lost after 2 s, and the second one resumed from the
/// 40th event.
const LOGS: &str = r#"
 12.0 a {"timestamp":"2026-09-27T23:31:12.500000Z","message":"run ended whole","item":"i2","server":"i-b","begun":40,"events":140,"waited":100,"taken":5100}
{"timestamp":"2026-09-27T23:31:12.600000Z","message":"results listed","batch":"b1","items":"i2","count":2,"total":3}
not a line
{"timestamp":"2026-09-27T23:31:04.000000Z","message":"batch accepted","batch":"b1","step":4,"model":"m0","items":3}
{"timestamp":"2026-09-27T23:31:05.000000Z","message":"results listed","batch":"b1","items":"i1","count":1,"total":3}
{"timestamp":"2026-09-27T23:31:05.200000Z","message":"runs a bundle","batch":"b1","bundle":0,"items":"i1 i2"}
{"timestamp":"2026-09-27T23:31:07.400000Z","message":"runs a bundle","batch":"b1","bundle":0,"items":"i2"}
{"timestamp":"2026-09-27T23:31:13.000000Z","message":"batch ended by its trainer","batch":"b1","listed":2}
{"timestamp":"2026-09-27T23:31:14.000000Z","message":"results listed","batch":"b1","items":"i3","count":3,"total":3}
{"timestamp":"2026-09-27T23:31:14.000000Z","message":"batch accepted","batch":"b2","step":5,"model":"m0","items":3}
{"timestamp":"tomorrow","message":"batch ended by its trainer","batch":"b2"}
"#;

/// The times of a step follow the result that its trainer read last.
#[test]
fn a_late_step_is_broken_down() {
    let mut times = StepTimes::default();
    LOGS.lines().for_each(|line| times.add_line(line));
    let rows = times.steps();
    assert_eq!(rows.len(), 1, "the second step has no end");
    let row = &rows[0];
    assert_eq!(
        (row.step, row.item.as_str(), row.server.as_str()),
        (4, "i2", "i-b")
    );
    for (name, found, expected) in [
        ("taken", row.taken, 9.0),
        ("waiting", row.waiting, 1.2),
        ("earlier_runs", row.earlier_runs, 2.2),
        ("first_wait", row.first_wait, 0.1),
        ("generating", row.generating, 5.0),
        ("listing", row.listing, 0.1),
        ("reading", row.reading, 0.4),
    ] {
        assert!(
            (found - expected).abs() < 0.001,
            "{name}: {found}, not {expected}"
        );
    }
    assert!(
        (row.event_ms - 5_000.0 / 99.0).abs() < 0.01,
        "{}",
        row.event_ms
    );
}

/// Lines that are no log lines, or incomplete, are ignored.
#[test]
fn logs_without_steps_have_no_rows() {
    let mut times = StepTimes::default();
    for line in [
        "",
        "{",
        "{}",
        r#"{"message":"batch accepted","timestamp":"x"}"#,
    ] {
        times.add_line(line);
    }
    assert!(times.steps().is_empty());
}
