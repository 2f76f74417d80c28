//! Errors in settings files: each is reported with its position and with what was
//! expected.

use proptest::prelude::*;
use redwingpond::settings::{
    AgentSettings, EntrySettings, Reader, SettingsError, TeamSettings, read,
};

/// A settings file and the errors that must be reported for it; none if it is valid.
struct Test {
    text: &'static str,
    /// Parts of the error text, one for each error.
    errors: &'static [&'static str],
}

impl Test {
    fn run<T>(self, read_root: impl Fn(&Reader<'_>) -> T) {
        let errors = match read("file.yaml", self.text, read_root) {
            Ok(_) => String::new(),
            Err(error) => error.to_string(),
        };
        for line in self.errors {
            assert!(
                errors.contains(line),
                "`{line}` is not reported in:\n{errors}"
            );
        }
        assert_eq!(errors.is_empty(), self.errors.is_empty(), "{errors}");
    }
}

/// An entry's settings with the required keys only.
const ENTRY_SETTINGS: &str = "
instance: entry-1
data_centre: hall
key: secret
platform: 127.0.0.1:7000
";

#[test]
fn the_required_settings_are_enough() {
    Test {
        text: ENTRY_SETTINGS,
        errors: &[],
    }
    .run(EntrySettings::read);
}

#[test]
fn all_faults_are_reported_at_once_with_their_positions() {
    Test {
        text: "
instance: ''
data_centre: hall
platform: nowhere
listen: {callers: 127.0.0.1:70000, telnet: 1}
distances: {pasila: far}
drain: {bound_ms: 1000, leave_ms: 2000}
policy: fastest
colour: red
",
        errors: &[
            "file.yaml:2:1: `key`: expected a text, found nothing",
            "file.yaml:2:11: `instance`: expected a text that is not empty",
            "file.yaml:4:11: `platform`: expected an IP address and a port, found `nowhere`",
            "`listen.callers`: expected an IP address and a port, found `127.0.0.1:70000`",
            "`listen.telnet`: expected one of admin, callers, links, found unknown key `telnet`",
            "`distances.pasila`: expected a number from 0 to 10000, found `far`",
            "`drain.leave_ms`: expected no more than `bound_ms`, found 2000",
            "`policy`: expected one of baseline, current, found `fastest`",
            "`colour`: expected one of",
        ],
    }
    .run(EntrySettings::read);
}

#[test]
fn a_file_that_is_no_mapping_is_rejected() {
    for text in ["- a", "just a text", "a: [1"] {
        assert!(read("file.yaml", text, EntrySettings::read).is_err());
    }
}

#[test]
fn an_agent_of_a_service_cannot_check_fences() {
    Test {
        text: "
instance: agent-1
data_centre: hall
key: secret
platform: 127.0.0.1:7000
backend: {address: 127.0.0.1:1, kind: service, pool: p, checks_fence: true, capacity: 0}
",
        errors: &[
            "`backend.checks_fence`: expected false",
            "`backend.capacity`: expected a number from 1 to 100000, found 0",
        ],
    }
    .run(AgentSettings::read);
}

#[test]
fn a_caller_can_only_name_classes_of_its_team() {
    Test {
        text: "
callers:
  stock: {key: short, classes: [stok-lookup]}
classes:
  stock-lookup: {pool: bale-ledger, internal: maybe}
",
        errors: &[
            "`callers.stock.classes`: expected a class of this team, found `stok-lookup`",
            "`callers.stock.key`: expected the 64 hexadecimal digits",
            "`classes.stock-lookup.internal`: expected true or false, found `maybe`",
        ],
    }
    .run(TeamSettings::read);
}

#[test]
fn a_missing_file_is_reported() {
    let error = EntrySettings::load(std::path::Path::new("no/such/file.yaml"));
    assert!(matches!(error, Err(SettingsError::Read { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn arbitrary_texts_never_panic(text in "\\PC{0,200}") {
        let _ = read("file.yaml", &text, EntrySettings::read);
        let _ = read("file.yaml", &text, TeamSettings::read);
    }

    #[test]
    fn damaged_settings_never_panic(at in any::<prop::sample::Index>(), with in "[\\[\\]{}:,\\-#&*!|>'\"%@` \n\ta-z0-9]{0,4}") {
        let mut text = ENTRY_SETTINGS.to_owned();
        let at = at.index(text.len());
        text.replace_range(at..at, &with);
        let _ = read("file.yaml", &text, EntrySettings::read);
    }
}
