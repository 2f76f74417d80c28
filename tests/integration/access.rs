//! Who is let in, and by how old a configuration.

use redwingpond::{
    base::Millis,
    policy::{
        access::{Denial, authenticate},
        freshness::Freshness, //
    },
    routing::{Credential, KeyDigest, Workspace, Workspaces}, //
};

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

fn workspaces() -> Workspaces {
    let mut all = Workspaces::default();
    for (name, keys) in [("foam", &["f-1", "f-2"][..]), ("springs", &["s-1"])] {
        let workspace = Workspace {
            name: name.to_owned(),
            priority: None,
        };
        let digests = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        all.insert(workspace, digests);
    }
    all
}

/// Each key lets its own workspace in, and no other; without a key, or with one that
/// nobody holds, only open routes answer.
#[test]
fn each_key_admits_only_its_workspace() {
    struct Test {
        closed: Result<Option<&'static str>, Denial>,
        credential: Credential,
        open: Option<&'static str>,
    }

    let all = workspaces();
    for test in [
        Test {
            closed: Ok(Some("foam")),
            credential: key("f-1"),
            open: Some("foam"),
        },
        Test {
            closed: Ok(Some("foam")),
            credential: key("f-2"),
            open: Some("foam"),
        },
        Test {
            closed: Ok(Some("springs")),
            credential: key("s-1"),
            open: Some("springs"),
        },
        Test {
            closed: Err(Denial::Unknown),
            credential: key("f-1 "),
            open: None,
        },
        Test {
            closed: Err(Denial::Unknown),
            credential: key("F-1"),
            open: None,
        },
        Test {
            closed: Err(Denial::Unknown),
            credential: key("foam"),
            open: None,
        },
        Test {
            closed: Err(Denial::Missing),
            credential: Credential::Absent,
            open: None,
        },
        Test {
            closed: Err(Denial::Malformed),
            credential: Credential::Malformed,
            open: None,
        },
    ] {
        let name = |open: bool| {
            let result = authenticate(Some(&all), open, test.credential);
            result.map(|workspace| workspace.map(|workspace| workspace.name.clone()))
        };
        let closed = test.closed.map(|name| name.map(str::to_owned));
        assert_eq!(name(false), closed, "{:?}", test.credential);
        let open = Ok(test.open.map(str::to_owned));
        assert_eq!(name(true), open, "{:?}", test.credential);
        // Where no workspaces are configured nobody needs a key.
        assert_eq!(authenticate(None, false, test.credential), Ok(None));
    }
    // A configuration without a single workspace lets nobody in.
    let none = Workspaces::default();
    let result = authenticate(Some(&none), false, key("f-1"));
    assert_eq!(result, Err(Denial::Unknown));
}

/// A key that was taken away must stop working on a gateway that hears of nothing: its
/// configuration is good for less than the time that the operators allow, counted from
/// when the store was asked.
#[test]
fn a_configuration_is_fresh_for_a_limited_time() {
    struct Test {
        confirmed: &'static [u64],
        fresh_until: Option<u64>,
    }

    for test in [
        Test {
            confirmed: &[],
            fresh_until: None,
        },
        Test {
            confirmed: &[10_000],
            fresh_until: Some(14_500),
        },
        Test {
            confirmed: &[10_000, 12_000],
            fresh_until: Some(16_500),
        },
        // Answers may overtake each other.
        Test {
            confirmed: &[12_000, 10_000],
            fresh_until: Some(16_500),
        },
    ] {
        let mut freshness = Freshness::new(Some(Millis(5_000)));
        for confirmed_at in test.confirmed {
            freshness.confirm(Millis(*confirmed_at));
        }
        let until = test.fresh_until.unwrap_or(0);
        assert_eq!(
            freshness.is_fresh(Millis(until.saturating_sub(1))),
            until > 0
        );
        assert!(!freshness.is_fresh(Millis(until)));
        assert!(!freshness.is_fresh(Millis(1_000_000)));
    }
    assert!(Freshness::new(None).is_fresh(Millis(1_000_000)));
}

/// What turns a caller away has to be asked for after the caller came.
#[test]
fn a_confirmation_counts_from_its_request() {
    let mut freshness = Freshness::new(Some(Millis(5_000)));
    assert!(!freshness.is_confirmed_since(Millis(0)));
    freshness.confirm(Millis(100));
    assert!(freshness.is_confirmed_since(Millis(100)));
    assert!(!freshness.is_confirmed_since(Millis(101)));
}
