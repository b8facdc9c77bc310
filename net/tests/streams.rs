//! Streams over real sockets: what becomes of last words.
use rockpick_net::{Event, Net, MAX_CLOSING_STREAMS, MS};
use std::io::Read;
use std::net::TcpStream;

/// Streams of a loop of its own, and their other ends.
fn streams(net: &mut Net, many: usize) -> Vec<(TcpStream, u64)> {
    let (_, at) = net.listen_streams("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut events = Vec::new();
    (0..many)
        .map(|_| {
            let io = TcpStream::connect(at).unwrap();
            loop {
                net.turn(&mut events, 10 * MS).unwrap();
                let came = events.drain(..).find_map(|event| match event {
                    Event::StreamOpened { conn } => Some(conn),
                    _ => None,
                });
                if let Some(conn) = came {
                    return (io, conn);
                }
            }
        })
        .collect()
}

/// At the bound of closing streams, one that still has words on their way is not the one to go.
#[test]
fn last_words_on_their_way_come_before_streams_that_have_said_all() {
    let mut net = Net::new(0).unwrap();
    let mut all = streams(&mut net, MAX_CLOSING_STREAMS + 1);
    let (mut reader, slow) = all.pop().unwrap();
    all.iter().for_each(|(_, conn)| net.close_gracefully(*conn));
    // More than the system takes at once: some of it waits here.
    let mut many = 0;
    while net.backlog(slow) == Some(0) {
        assert!(net.send(slow, &vec![7; 1 << 20]));
        many += 1 << 20;
    }
    net.close_gracefully(slow);
    assert_eq!(net.unflushed_closing(), 1);
    let read = std::thread::spawn(move || {
        let mut came = Vec::new();
        reader.read_to_end(&mut came).map(|_| came.len())
    });
    let mut events = Vec::new();
    while !read.is_finished() {
        net.turn(&mut events, 10 * MS).unwrap();
    }
    assert_eq!(read.join().unwrap().unwrap(), many);
    assert_eq!(net.unflushed_closing(), 0);
}
