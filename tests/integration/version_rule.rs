//! Which weight versions may generate a text's events.

use redwingpond::policy::version_rule::{VersionFit, VersionRule};
use std::collections::BTreeSet;

const ANY: VersionRule = VersionRule {
    least: 2,
    single: false,
};
const SINGLE: VersionRule = VersionRule {
    single: true,
    ..ANY
};

/// Guards against events of a second version where one is allowed, and of versions that are
/// too old.
#[test]
fn an_event_has_a_version_that_its_text_allows() {
    struct Test {
        fit: VersionFit,
        rule: VersionRule,
        version: u64,
        versions: &'static [u64],
    }

    for test in [
        Test {
            fit: VersionFit::Fits,
            rule: ANY,
            version: 2,
            versions: &[],
        },
        Test {
            fit: VersionFit::Fits,
            rule: ANY,
            version: 3,
            versions: &[2],
        },
        Test {
            fit: VersionFit::TooOld,
            rule: ANY,
            version: 1,
            versions: &[2],
        },
        Test {
            fit: VersionFit::Fits,
            rule: SINGLE,
            version: 3,
            versions: &[],
        },
        Test {
            fit: VersionFit::Fits,
            rule: SINGLE,
            version: 2,
            versions: &[2],
        },
        Test {
            fit: VersionFit::OtherVersion,
            rule: SINGLE,
            version: 3,
            versions: &[2],
        },
        // The text may go on once the engine has newer weights.
        Test {
            fit: VersionFit::TooOld,
            rule: SINGLE,
            version: 1,
            versions: &[2],
        },
    ] {
        let versions: BTreeSet<u64> = test.versions.iter().copied().collect();
        let (rule, version) = (test.rule, test.version);
        let fit = rule.check(version, &versions);
        assert_eq!(fit, test.fit, "{rule:?}, {versions:?}, {version}");
    }
}

/// Guards against the use of a saved text whose versions its batch does not allow, and the
/// loss of one that it does.
#[test]
fn a_saved_text_is_continued_if_its_versions_are_allowed() {
    struct Test {
        any: bool,
        single: bool,
        versions: &'static [u64],
    }

    for test in [
        Test {
            any: true,
            single: true,
            versions: &[2],
        },
        Test {
            any: true,
            single: false,
            versions: &[2, 3],
        },
        Test {
            any: false,
            single: false,
            versions: &[1],
        },
        Test {
            any: false,
            single: false,
            versions: &[1, 2],
        },
        Test {
            any: false,
            single: false,
            versions: &[],
        },
    ] {
        let versions: BTreeSet<u64> = test.versions.iter().copied().collect();
        let found = (ANY.permits(&versions), SINGLE.permits(&versions));
        assert_eq!(found, (test.any, test.single), "{versions:?}");
    }
}
