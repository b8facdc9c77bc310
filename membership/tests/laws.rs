//! Records override each other alike in whatever order they come.
use proptest::prelude::*;
use rockpick_membership::*;
use std::net::SocketAddr;

fn record() -> impl Strategy<Value = Record> {
    (0u32..4, 0usize..4, 0u64..3, 1u16..3).prop_map(|(turn, status, life, port)| Record {
        name: "a".into(),
        at: SocketAddr::from(([127, 0, 0, 1], port)),
        life,
        turn,
        status: [Status::Alive, Status::Suspect, Status::Gone, Status::Left][status],
    })
}

fn join(a: Record, b: Record) -> Record {
    if b.beats(&a) {
        b
    } else {
        a
    }
}

proptest! {
    #[test]
    fn a_join(a in record(), b in record(), c in record()) {
        prop_assert_eq!(join(a.clone(), b.clone()), join(b.clone(), a.clone()));
        prop_assert_eq!(join(join(a.clone(), b.clone()), c.clone()), join(a.clone(), join(b.clone(), c)));
        prop_assert_eq!(join(a.clone(), a.clone()), a.clone());
    }

    #[test]
    fn letters_come_back_as_they_were(records in prop::collection::vec(record(), 0..20), serial: u32, by: u32) {
        let from = Record { status: Status::Alive, ..records.first().cloned().unwrap_or(Record {
            name: "b".into(), at: SocketAddr::from(([127, 0, 0, 1], 9)), life: 1, turn: 0, status: Status::Alive }) };
        let news = records.into_iter().map(|record| News { record, by }).collect();
        let letter = Letter { from, word: Word::Ping { serial, life: 7 }, news };
        prop_assert_eq!(Letter::read(&letter.write()), Some(letter));
    }
}
