//! Property tests: whatever a peer sends, decoding and handling it neither panics nor takes
//! unbounded memory.

use {
    mulberryshelf::{
        control::{Action, Control, Event, Spread, Start},
        member::{Contact, Record, State},
        snapshot::{Delta, Digest, Snapshot},
        spread::{Beat, CoverageReport, Join, Relation},
        types::{Domain, Host, Moment, Revision},
        wire::{self, Answer, Frame, Part, Request, Sync, Welcome},
    },
    proptest::{collection::vec, prelude::*},
    std::sync::Arc,
};

fn host() -> impl Strategy<Value = Host> {
    "[a-c][0-9]".prop_map(|text| text.parse().unwrap())
}

fn domain() -> impl Strategy<Value = Domain> {
    "luzon-[ab]".prop_map(|text| text.parse().unwrap())
}

fn revision() -> impl Strategy<Value = Revision> {
    prop_oneof![0u64..9, any::<u64>()].prop_map(Revision)
}

fn contact() -> impl Strategy<Value = Contact> {
    (host(), domain(), any::<u16>()).prop_map(|(host, domain, port)| Contact {
        address: ([127, 0, 0, 1], port).into(),
        domain,
        host,
        region: "luzon".parse().unwrap(),
    })
}

fn record() -> impl Strategy<Value = Arc<Record>> {
    let state = prop_oneof![Just(State::Ready), Just(State::Draining), Just(State::Gone)];
    let number = || prop_oneof![0u64..9, any::<u64>()];
    (contact(), number(), number(), state).prop_map(|(contact, incarnation, sequence, state)| {
        Arc::new(Record {
            contact,
            incarnation: Moment(incarnation),
            offer: None,
            sequence,
            state,
        })
    })
}

fn relation() -> impl Strategy<Value = Relation> {
    prop_oneof![
        Just(Relation::Child),
        Just(Relation::RemoteRelay),
        Just(Relation::Parent),
        Just(Relation::RegionRelay)
    ]
}

fn beat() -> impl Strategy<Value = Beat> {
    let parts = (revision(), any::<u32>(), revision(), any::<u32>());
    (parts, any::<u64>(), any::<bool>()).prop_map(|(parts, roster_digest, serving)| Beat {
        floor: parts.0,
        read_age_ms: parts.1,
        revision: parts.2,
        relay_age_ms: parts.3,
        roster_digest,
        serving,
    })
}

fn frame() -> impl Strategy<Value = Frame> {
    let report =
        (any::<u32>(), domain(), revision()).prop_map(|(age_ms, domain, floor)| CoverageReport {
            age_ms,
            domain,
            floor,
        });
    let join = (contact(), revision(), relation()).prop_map(|(contact, revision, relation)| Join {
        contact,
        revision,
        relation,
    });
    let delta = (revision(), revision(), any::<u64>()).prop_map(|(from, to, digest)| Delta {
        changes: Vec::new(),
        digest: Digest(digest % 2),
        from,
        to,
    });
    let snapshot = (revision(), any::<u64>()).prop_map(|(revision, digest)| Snapshot {
        digest: Digest(digest % 2),
        resources: std::collections::BTreeMap::new(),
        revision,
    });
    let sync =
        (vec(any::<u64>(), 0..40), domain(), any::<bool>()).prop_map(|(buckets, domain, reply)| {
            Sync {
                buckets,
                domain,
                reply,
            }
        });
    prop_oneof![
        beat().prop_map(Frame::Beat),
        any::<u32>().prop_map(Frame::Busy),
        (host(), vec(host(), 0..5)).prop_map(|(parent, hosts)| Frame::Children(parent, hosts)),
        vec(report, 0..4).prop_map(Frame::Cover),
        delta.prop_map(|delta| Frame::Delta(Arc::new(delta))),
        vec((domain(), any::<u64>()), 0..4).prop_map(Frame::Digests),
        revision().prop_map(Frame::Fetch),
        (contact(), revision()).prop_map(|(contact, revision)| Frame::Hello(contact, revision)),
        join.prop_map(Frame::Join),
        vec(record(), 0..6).prop_map(Frame::Members),
        Just(Frame::Quit),
        vec(any::<u8>(), 0..9).prop_map(Frame::Rollout),
        snapshot.prop_map(|snapshot| Frame::Snapshot(Arc::new(snapshot))),
        sync.prop_map(Frame::Sync),
        (any::<u32>(), vec(record(), 0..6), revision()).prop_map(|(hosts, records, revision)| {
            Frame::Welcome(Welcome {
                hosts,
                records,
                revision,
                serving: hosts % 2 == 0,
            })
        }),
    ]
}

proptest! {
    #[test]
    fn encoded_frames_decode_to_themselves(frame in frame()) {
        let bytes = wire::encode(&frame).unwrap();
        prop_assert_eq!(wire::decode::<Frame>(&bytes).unwrap(), frame);
    }

    #[test]
    fn corrupted_frames_are_refused_or_decoded(
        frame in frame(),
        cut in any::<prop::sample::Index>(),
        flips in vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
    ) {
        let mut bytes = wire::encode(&frame).unwrap();
        for (index, value) in flips {
            let at = index.index(bytes.len());
            bytes[at] = value;
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        let _ = wire::decode::<Frame>(&bytes);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..200)) {
        let _ = wire::decode::<Frame>(&bytes);
        let _ = wire::decode::<Part>(&bytes);
        let _ = wire::decode::<Request>(&bytes);
        let _ = wire::decode::<Answer>(&bytes);
    }

    #[test]
    fn length_beyond_the_available_bytes_is_refused(variant in 0u8..15, length in 1000u64..) {
        let mut bytes = vec![variant];
        bytes.extend(wire::encode(&length).unwrap());
        if let Ok(frame) = wire::decode::<Frame>(&bytes) {
            prop_assert!(wire::encode(&frame).unwrap().len() <= bytes.len());
        }
    }

    #[test]
    fn any_sequence_of_frames_is_handled_and_only_raises_the_revision(
        events in vec((host(), frame(), 0u64..3_000_000), 1..60),
    ) {
        let mut now = Moment(1_000_000_000);
        let mut control = Control::new(Start {
            contact: Contact {
                address: ([127, 0, 0, 1], 7000).into(),
                domain: "luzon-a".parse().unwrap(),
                host: "a0".parse().unwrap(),
                region: "luzon".parse().unwrap(),
            },
            now,
            peers: Vec::new(),
            seed: 1,
            spread: Spread::default(),
        });
        let mut installed = Revision(0);
        for (host, frame, wait) in events {
            now = Moment(now.0 + wait);
            let mut actions = control.handle(now, Event::Connected(host.clone()));
            actions.extend(control.handle(now, Event::Received(host, frame)));
            actions.extend(control.handle(now, Event::Tick));
            for action in actions {
                if let Action::Install(snapshot) = action {
                    prop_assert!(snapshot.revision > installed);
                    installed = snapshot.revision;
                }
            }
        }
        prop_assert!(control.roster().iter().count() <= 31);
    }
}
