//! Merging records gives the same result in any order, and messages survive encoding.
use proptest::prelude::*;
use rockpick_membership::*;
use std::net::SocketAddr;

fn record() -> impl Strategy<Value = Record> {
    (0u32..4, 0usize..4, 0u64..3, 1u16..3).prop_map(|(incarnation, status, instance, port)| Record {
        name: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        instance,
        incarnation,
        status: [Status::Alive, Status::Suspect, Status::Gone, Status::Left][status],
    })
}

fn merge(a: Record, b: Record) -> Record {
    if b.supersedes(&a) {
        b
    } else {
        a
    }
}

proptest! {
    #[test]
    fn merging_records_is_commutative_associative_and_idempotent(a in record(), b in record(), c in record()) {
        prop_assert_eq!(merge(a.clone(), b.clone()), merge(b.clone(), a.clone()));
        prop_assert_eq!(merge(merge(a.clone(), b.clone()), c.clone()), merge(a.clone(), merge(b.clone(), c)));
        prop_assert_eq!(merge(a.clone(), a.clone()), a.clone());
    }

    #[test]
    fn messages_survive_encoding(records in prop::collection::vec(record(), 0..20), sequence: u32, reporter: u32) {
        let from = Record { status: Status::Alive, ..records.first().cloned().unwrap_or(Record {
            name: "b".into(), address: SocketAddr::from(([127, 0, 0, 1], 9)), instance: 1, incarnation: 0, status: Status::Alive }) };
        let updates = records.into_iter().map(|record| Update { record, reporter }).collect();
        let message = Message { from, body: Body::Ping { sequence, instance: 7 }, updates };
        prop_assert_eq!(Message::decode(&message.encode()), Some(message));
    }
}
