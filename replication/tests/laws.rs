//! Every table's join: associative, commutative, idempotent; and shelves that take the same rows in any order are equal.
use proptest::prelude::*;
use rockpick_replication::*;

fn row(key: Key) -> BoxedStrategy<(Key, Row)> {
    match key {
        Key::Build(_) => (any::<bool>(), 0u64..3, 0u64..3, any::<bool>(), 0u32..3)
            .prop_map(move |(withdrawn, term, serial, released, stage)| {
                let phase = if released { Phase::Released } else { Phase::OnTrial };
                (key, Row::Build(Build { withdrawn, term, serial, phase, stage }))
            })
            .boxed(),
        Key::Machine(_) => (0u64..3, 0usize..3, any::<bool>())
            .prop_map(move |(run, state, failing)| {
                let state = [State::Up, State::Draining, State::Gone][state];
                (key, Row::Machine(Machine { run, state, failing }))
            })
            .boxed(),
        Key::Bound(_) => {
            (0u32..5, 1u32..5).prop_map(move |(old, more)| (key, Row::Bound([old + more, old]))).boxed()
        }
        _ => (0u64..3, 0u64..4, 0u64..4)
            .prop_map(move |(serial, bad, more)| (key, Row::Count(Count { serial, all: bad + more, bad })))
            .boxed(),
    }
}

fn key() -> impl Strategy<Value = Key> {
    prop_oneof![
        (0u32..3).prop_map(Key::Build),
        (0u64..3).prop_map(Key::Machine),
        (0u64..3).prop_map(Key::Bound),
        (5u64..7, 0u32..2).prop_map(|(origin, build)| Key::Seen { origin, build, method: 0 }),
        (5u64..7, 0u64..2).prop_map(|(origin, tenant)| Key::Spent { origin, tenant, window: 0 }),
    ]
}

fn three() -> impl Strategy<Value = [(Key, Row); 3]> {
    key().prop_flat_map(|key| [row(key), row(key), row(key)])
}

proptest! {
    #[test]
    fn a_join([(key, a), (_, b), (_, c)] in three()) {
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert_eq!(a.join(a), a);
        prop_assert!(a.join(b).fits(&key));
    }

    #[test]
    fn shelves_are_equal_in_whatever_order(
        rows in prop::collection::vec(key().prop_flat_map(row), 0..40), order in any::<u64>()
    ) {
        let mut mixed = rows.clone();
        let count = mixed.len().max(1);
        for i in 0..mixed.len() {
            mixed.swap(i, (order.wrapping_mul(i as u64 + 7) >> 32) as usize % count);
        }
        let shelf = |rows: &[(Key, Row)]| {
            let mut shelf = Shelf::new(1);
            for (at, (key, row)) in rows.iter().enumerate() {
                shelf.take(*key, *row, Dot { origin: 2, serial: at as u64 + 1 });
            }
            shelf
        };
        let (a, b) = (shelf(&rows), shelf(&mixed));
        for table in TABLES {
            prop_assert_eq!(a.whole(table), b.whole(table));
            prop_assert_eq!(a.len(table), a.table(table).count());
        }
    }

    #[test]
    fn a_letter_comes_back_as_it_was(rows in prop::collection::vec(key().prop_flat_map(row), 0..17), serial: u32) {
        let rows = rows.into_iter().map(|(k, r)| (k, r, Dot { origin: u64::MAX, serial: u64::MAX })).collect();
        let word = Word::Chunk { serial, rows, next: Some(Key::Spent { origin: u64::MAX, tenant: u64::MAX, window: u32::MAX }) };
        let bytes = word.write();
        prop_assert!(bytes.len() <= MOST_LETTER, "{} bytes", bytes.len());
        prop_assert_eq!(Word::read(&bytes), Some(word));
    }
}

/// Found by storm 10,268 of 100,000: two rows of one range with each other's content gave the same digest, so that two
/// fronts held different bindings for good and took them for equal.
#[test]
fn rows_that_have_changed_places_change_the_digest() {
    let shelf = |builds: [u32; 2]| {
        let mut shelf = Shelf::new(1);
        let range = |key: u64| Key::Bound(key).hash() >> 58;
        let other = (1..).find(|key| range(*key) == range(0)).unwrap();
        shelf.change(Key::Bound(0), Row::Bound([builds[0], 0]));
        shelf.change(Key::Bound(other), Row::Bound([builds[1], 0]));
        shelf.whole(Table::Bindings)
    };
    assert_ne!(shelf([4, 5]), shelf([5, 4]));
}
