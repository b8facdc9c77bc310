//! Tests of streams over real sockets: the last output of closing streams.
use rockpick_net::{Event, Net, MAX_CLOSING_STREAMS, MS};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// Opens streams to a loop; returns the peer sockets and the ids.
fn streams(net: &mut Net, count: usize) -> Vec<(TcpStream, u64)> {
    let (_, at) = net.listen_streams("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut events = Vec::new();
    (0..count)
        .map(|_| {
            let io = TcpStream::connect(at).unwrap();
            loop {
                net.turn(&mut events, 10 * MS).unwrap();
                let opened = events.drain(..).find_map(|event| match event {
                    Event::StreamOpened { conn } => Some(conn),
                    _ => None,
                });
                if let Some(conn) = opened {
                    return (io, conn);
                }
            }
        })
        .collect()
}

/// At the limit of closing streams, one with pending output must not be the one that is closed.
#[test]
fn closing_streams_with_pending_output_outlive_flushed_ones() {
    let mut net = Net::new(0).unwrap();
    let mut all = streams(&mut net, MAX_CLOSING_STREAMS + 1);
    let (mut reader, slow) = all.pop().unwrap();
    all.iter().for_each(|(_, conn)| net.close_gracefully(*conn));
    // More than the kernel buffers at once, so that part of it stays pending.
    let mut sent_bytes = 0;
    while net.backlog(slow) == Some(0) {
        assert!(net.send(slow, &vec![7; 1 << 20]));
        sent_bytes += 1 << 20;
    }
    net.close_gracefully(slow);
    assert_eq!(net.unflushed_closing(), 1);
    let read = std::thread::spawn(move || {
        let mut received = Vec::new();
        reader.read_to_end(&mut received).map(|_| received.len())
    });
    let mut events = Vec::new();
    while !read.is_finished() {
        net.turn(&mut events, 10 * MS).unwrap();
    }
    assert_eq!(read.join().unwrap().unwrap(), sent_bytes);
    assert_eq!(net.unflushed_closing(), 0);
}

/// Guards against input that is read and then dropped by a close: beyond the limit it stays unread, output before the close
/// arrives, and the peer's unread input is reset.
#[test]
fn a_stream_is_read_up_to_its_limit_and_closed_without_reading_more() {
    let mut net = Net::new(0).unwrap();
    let (mut peer, conn) = streams(&mut net, 1).remove(0);
    net.limit_read(conn, 3);
    peer.write_all(b"abcdefg").unwrap();
    let (mut events, mut received) = (Vec::new(), Vec::new());
    while received.len() < 2 {
        net.turn(&mut events, 10 * MS).unwrap();
        received.extend(events.drain(..).filter_map(|event| match event {
            Event::StreamData { bytes, .. } => Some(bytes),
            _ => None,
        }));
    }
    assert_eq!(received, [b"abc", b"def"]);
    net.pause(conn, true);
    assert!(net.send(conn, b"last"));
    net.close_without_reading(conn);
    net.turn(&mut events, 0).unwrap();
    assert!(events.is_empty(), "{events:?}");
    let mut last = Vec::new();
    peer.read_to_end(&mut last).unwrap();
    assert_eq!(last, b"last");
    drop(net);
    let refused = peer.write(b"h").map_err(|err| err.kind());
    assert!(matches!(refused, Err(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)), "{refused:?}");
}

/// Guards against memory that unsent output takes without a limit: what the kernel takes is not counted, what is stored is
/// counted until it is sent, and a dialled stream that would exceed the limit is closed.
#[test]
fn unsent_output_is_counted_and_that_of_dialled_streams_is_limited() {
    const PART: usize = 1 << 20;
    let peer = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = Net::new(0).unwrap();
    net.max_unsent_dialled = 2 * PART;
    let conn = net.dial(peer.local_addr().unwrap(), 1_000 * MS).unwrap();
    let (mut reader, _) = peer.accept().unwrap();
    let mut events = Vec::new();
    while events.is_empty() {
        net.turn(&mut events, 10 * MS).unwrap();
    }
    assert!(net.send(conn, &[1; 100]));
    assert_eq!(net.unsent_bytes().dialled, 0);
    while net.unsent_bytes().dialled == 0 {
        assert!(net.send(conn, &vec![7; PART]));
    }
    reader.set_nonblocking(true).unwrap();
    let mut buffer = vec![0; PART];
    while net.unsent_bytes().dialled > 0 {
        let _ = reader.read(&mut buffer);
        net.turn(&mut events, MS).unwrap();
    }
    let mut sent = true;
    while sent {
        sent = net.send(conn, &vec![7; PART]);
        assert!(net.unsent_bytes().dialled <= net.max_unsent_dialled);
    }
    assert_eq!((net.streams(), net.unsent_bytes()), (0, Default::default()));
}

/// Guards against memory that a flood takes between two turns: all streams together hand over no more than the limit.
#[test]
fn a_turn_reads_no_more_than_its_limit_and_something_from_each_stream() {
    const STREAMS: usize = 16;
    const LIMIT: usize = STREAMS * 4 * 1024;
    let mut net = Net::new(0).unwrap();
    net.max_read_per_turn = LIMIT;
    let mut all = streams(&mut net, STREAMS);
    for (io, _) in &mut all {
        io.write_all(&[7; 32 * 1024]).unwrap();
    }
    while all.iter().any(|(_, conn)| !net.has_unread(*conn)) {
        std::thread::yield_now();
    }
    let mut events = Vec::new();
    net.turn(&mut events, MS).unwrap();
    let lengths: Vec<usize> = events
        .iter()
        .filter_map(|event| match event {
            Event::StreamData { bytes, .. } => Some(bytes.len()),
            _ => None,
        })
        .collect();
    assert!(lengths.len() == STREAMS && lengths.iter().sum::<usize>() <= LIMIT, "{lengths:?}");
}

/// Guards against requests that are carried out after their client has closed: what it left unread is not read any more.
#[test]
fn what_a_peer_left_unread_is_dropped_once_it_has_closed() {
    let mut net = Net::new(0).unwrap();
    let (mut peer, conn) = streams(&mut net, 1).remove(0);
    net.limit_read(conn, 10);
    peer.write_all(&[7; 1_000]).unwrap();
    drop(peer);
    std::thread::sleep(std::time::Duration::from_millis(20));
    let mut events = Vec::new();
    while !events.iter().any(|event| matches!(event, Event::StreamClosed { .. })) {
        net.turn(&mut events, 10 * MS).unwrap();
    }
    assert!(!events.iter().any(|event| matches!(event, Event::StreamData { .. })), "{}", events.len());
}
