//! The codec of the messages between entries and agents.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use redwingpond::{
    base::{
        Account, Cause, Event, Failure, Incarnation, Issuer, Millis, Priority, RequestId, Span,
        Tokens, Verdict, WeightVersion,
    },
    wire::{
        CallHead, EngineState, FinishReason, Frame, FromAgent, Generation, Hello, MAX_FRAME, Order,
        OrderKind, Report, Role, Sampling, Slot, Start, ToAgent, Work, decode, encode,
    },
};

fn request() -> RequestId {
    RequestId {
        incarnation: Incarnation(7),
        issuer: Issuer(3),
        second: 2,
        sequence: 1,
    }
}

fn tokens() -> Tokens {
    [" ab", "", " é"].into_iter().collect()
}

/// A message of each kind that an agent receives.
fn to_agent() -> Vec<ToAgent> {
    let slot = Slot(9);
    let start = |work| {
        ToAgent::Start(Box::new(Start {
            attempt: 1,
            budget: Millis(500),
            class: "c".into(),
            idempotent: false,
            key: Some("k".into()),
            priority: Priority::Background,
            request: request(),
            slot,
            team: "t".into(),
            work,
        }))
    };
    vec![
        ToAgent::Cancel { slot },
        ToAgent::Credit { slot, bytes: 5 },
        ToAgent::Data {
            slot,
            bytes: Bytes::from_static(b"abc"),
            last: true,
        },
        ToAgent::Order {
            slot,
            order: Order {
                fence: 4,
                kind: OrderKind::Load {
                    version: WeightVersion(3),
                },
                lease: "leases/t/x".into(),
                model: "m".into(),
            },
        },
        ToAgent::Query {
            slot,
            request: request(),
        },
        ToAgent::Revoke {
            attempt: 0,
            slot,
            request: request(),
        },
        start(Work::Call(CallHead {
            body: Bytes::from_static(b"body"),
            headers: vec![("a".into(), Bytes::from_static(b"b"))],
            method: "POST".into(),
            path: "/p?q".into(),
            whole: true,
        })),
        start(Work::Generate(Generation {
            done: tokens(),
            model: "m".into(),
            prompt: "p".into(),
            sampling: Sampling {
                max_tokens: 3,
                seed: 1,
                temperature: 0.5,
            },
        })),
    ]
}

/// A message of each kind that an agent sends.
fn from_agent() -> Vec<FromAgent> {
    let slot = Slot(9);
    let mut account = Account::new(request(), "t", "c");
    account.record(
        Millis(1),
        Event::Failed {
            cause: Cause::LinkLost,
            verdict: Verdict::MayHaveRun,
        },
    );
    vec![
        FromAgent::Account {
            slot,
            account: Some(account),
        },
        FromAgent::Credit { slot, bytes: 1 },
        FromAgent::Data {
            slot,
            bytes: Bytes::from_static(b"abc"),
        },
        FromAgent::End {
            slot,
            finish: Some(FinishReason::Stop),
        },
        FromAgent::Failed {
            slot,
            failure: Failure::not_run(Cause::Overloaded, "full").retry_after(Millis(5)),
        },
        FromAgent::Head {
            slot,
            status: 200,
            headers: vec![],
        },
        FromAgent::Ordered {
            slot,
            result: Ok(EngineState::default()),
        },
        FromAgent::Report(Report::default()),
        FromAgent::Spans {
            slot,
            spans: vec![Span {
                from: 0,
                to: 2,
                version: WeightVersion(1),
            }],
        },
        FromAgent::Tokens {
            slot,
            from: 0,
            tokens: tokens(),
        },
    ]
}

fn hello() -> Hello {
    Hello {
        incarnation: Incarnation(1),
        instance: "i".into(),
        key: "k".into(),
        role: Role::Entry,
    }
}

/// Encodes all messages, then decodes them from a stream that arrives in chunks of
/// `part` bytes.
fn round_trip<T>(messages: Vec<T>, part: usize)
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let mut stream = BytesMut::new();
    let frames: Vec<Frame<T>> = messages.into_iter().map(Frame::Message).collect();
    for frame in &frames {
        encode(frame, &mut stream).unwrap();
    }

    let mut buffer = BytesMut::new();
    let mut decoded = Vec::new();
    for chunk in stream.chunks(part) {
        buffer.extend_from_slice(chunk);
        while let Some(frame) = decode::<Frame<T>>(&mut buffer).unwrap() {
            decoded.push(frame);
        }
    }
    assert_eq!(decoded, frames);
    assert!(buffer.is_empty());
}

/// Messages are decoded as they were encoded, however the stream is split.
#[test]
fn every_message_survives_any_split() {
    for part in [1, 2, 7, 64, 4_096] {
        round_trip(to_agent(), part);
        round_trip(from_agent(), part);
        round_trip(vec![hello()], part);
    }
}

/// A peer announces a message of 4 GB and sends nothing more. Memory of that size would
/// be allocated and the process would die, so the decoder must refuse the length before
/// any allocation.
#[test]
fn an_announced_length_causes_no_allocation() {
    for length in [0, MAX_FRAME as u32 + 1, u32::MAX] {
        let mut buffer = BytesMut::from(&length.to_le_bytes()[..]);
        let before = buffer.capacity();
        assert!(decode::<Frame<ToAgent>>(&mut buffer).is_err(), "{length}");
        assert_eq!(buffer.capacity(), before);
    }
    let mut buffer = BytesMut::from(&(MAX_FRAME as u32).to_le_bytes()[..]);
    assert_eq!(decode::<Frame<ToAgent>>(&mut buffer), Ok(None));
    assert!(buffer.capacity() < 1_024);
}

/// A message over the size limit is not encoded, and leaves the buffer as it was.
#[test]
fn a_message_over_the_limit_leaves_the_buffer_unchanged() {
    let mut buffer = BytesMut::from(&b"before"[..]);
    let message = Frame::Message(FromAgent::Data {
        slot: Slot(1),
        bytes: Bytes::from(vec![0; MAX_FRAME]),
    });
    assert!(encode(&message, &mut buffer).is_err());
    assert_eq!(&buffer[..], b"before");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<Frame<ToAgent>>(&mut BytesMut::from(&bytes[..]));
        let _ = decode::<Frame<FromAgent>>(&mut BytesMut::from(&bytes[..]));
        let _ = decode::<Frame<Hello>>(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn framed_garbage_never_panics(body in proptest::collection::vec(any::<u8>(), 0..256)) {
        let mut framed = BytesMut::new();
        framed.extend_from_slice(&(body.len() as u32 + 1).to_le_bytes());
        framed.extend_from_slice(&[1]);
        framed.extend_from_slice(&body);
        let _ = decode::<Frame<ToAgent>>(&mut framed.clone());
        let _ = decode::<Frame<FromAgent>>(&mut framed.clone());
        let _ = decode::<Frame<Hello>>(&mut framed);
    }

    #[test]
    fn flipped_bits_never_panic(which in 0..8_usize, at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut framed = BytesMut::new();
        let message = to_agent().swap_remove(which);
        encode(&Frame::Message(message), &mut framed).unwrap();
        let at = at.index(framed.len());
        framed[at] ^= 1 << bit;
        let _ = decode::<Frame<ToAgent>>(&mut framed);
    }

    #[test]
    fn request_ids_from_any_text_never_panic(text in "\\PC{0,48}") {
        if let Ok(id) = text.parse::<RequestId>() {
            prop_assert_eq!(id.to_string(), text);
        }
    }
}
