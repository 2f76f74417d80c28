//! Which callers are admitted, and how old the configuration may be by which they are
//! checked.

use redwingpond::{
    base::Millis,
    policy::{
        access::{Denial, authenticate},
        freshness::Freshness, //
    },
    routing::{Credential, KeyDigest, Workspace, Workspaces}, //
};

/// The credential of a caller that sends `text` as its key.
fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

/// The workspace `foam` with two keys, and `springs` with one.
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

/// Each key admits its own workspace and no other. Without a key, or with an unknown or
/// malformed one, only routes that allow anonymous callers answer.
#[test]
fn each_key_admits_only_its_workspace() {
    struct Test {
        /// The outcome on a route that requires a key.
        closed: Result<Option<&'static str>, Denial>,
        credential: Credential,
        /// The workspace on a route that allows anonymous callers.
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
        let workspace_name = |open: bool| {
            let result = authenticate(Some(&all), open, test.credential);
            result.map(|workspace| workspace.map(|workspace| workspace.name.clone()))
        };
        let closed = test.closed.map(|name| name.map(str::to_owned));
        assert_eq!(workspace_name(false), closed, "{:?}", test.credential);
        let open = Ok(test.open.map(str::to_owned));
        assert_eq!(workspace_name(true), open, "{:?}", test.credential);
        // Without configured workspaces, no caller needs a key.
        assert_eq!(authenticate(None, false, test.credential), Ok(None));
    }
    // A configuration with an empty list of workspaces admits nobody.
    let none = Workspaces::default();
    let result = authenticate(Some(&none), false, key("f-1"));
    assert_eq!(result, Err(Denial::Unknown));
}

/// A revoked key must stop working on a gateway that gets no news of it. Its
/// configuration is fresh for less than the time that the operators allow, counted from
/// when the confirming request was sent.
#[test]
fn a_configuration_is_fresh_for_a_limited_time() {
    struct Test {
        /// When the confirming requests were sent.
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
        // Answers may arrive out of order.
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

/// A caller is refused only by a configuration that was requested from the store after
/// the caller's request arrived.
#[test]
fn a_confirmation_counts_from_its_request() {
    let mut freshness = Freshness::new(Some(Millis(5_000)));
    assert!(!freshness.is_confirmed_since(Millis(0)));
    freshness.confirm(Millis(100));
    assert!(freshness.is_confirmed_since(Millis(100)));
    assert!(!freshness.is_confirmed_since(Millis(101)));
}
