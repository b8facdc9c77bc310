//! Tests of streams over real sockets: the last output of closing streams.
use rockpick_net::{Event, Net, MAX_CLOSING_STREAMS, MS};
use std::io::Read;
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
