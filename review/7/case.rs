//! Case: clients that send hundreds of commands at once take the node over its memory limit, whatever limit it was told.
#[path = "../kit-2/kit.rs"]
mod kit;
use kit::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limits that the bench gives this program on its days of bad clients; a scored day gives 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;
const MACHINES: usize = 14;
/// Requests in work at a machine, and in its queue.
const SLOTS: u32 = 4;
const QUEUE: u32 = 20;
const USUAL: u64 = 24;
/// Bad clients at a time. Each sends `COMMANDS` commands at once, reads what it is sent, and comes again.
const BAD: u64 = 140;
const COMMANDS: u64 = 200;
/// The longest value that the pages allow.
const VALUE: usize = 64 * 1024;
const CALM: Duration = Duration::from_secs(4);
const PLAY: Duration = Duration::from_secs(25);

/// A sound machine: four requests at a time, 72 to 120 ms each, a queue, and 53300 beyond.
fn machine(name: String, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let state = Arc::new((Mutex::new((0u32, 0u32)), Condvar::new()));
    thread::spawn(move || {
        for (number, io) in listener.incoming().flatten().enumerate() {
            let (name, record, state) = (name.clone(), record.clone(), state.clone());
            thread::spawn(move || serve(&name, number as u64, io, &state, &record));
        }
    });
    at
}

fn serve(name: &str, number: u64, mut io: TcpStream, state: &(Mutex<(u32, u32)>, Condvar), record: &Record) -> Option<()> {
    io.set_nodelay(true).ok()?;
    let mut rng = Rng(number);
    read_startup(&mut io)?;
    io.write_all(&welcome()).ok()?;
    while let Some((b'Q', body)) = read_message(&mut io) {
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
        let id = field(&text, "id").unwrap_or("?").to_string();
        let admitted = {
            let mut held = state.0.lock().unwrap();
            if held.0 >= SLOTS && held.1 >= QUEUE {
                false
            } else {
                held.1 += 1;
                while held.0 >= SLOTS {
                    held = state.1.wait(held).unwrap();
                }
                *held = (held.0 + 1, held.1 - 1);
                true
            }
        };
        if !admitted {
            io.write_all(&error("53300")).ok()?;
            continue;
        }
        thread::sleep(ms(72 + rng.next() % 48));
        state.0.lock().unwrap().0 -= 1;
        state.1.notify_one();
        if id.starts_with('6') {
            record.write(&format!("{name} ran {id}"));
        }
        io.write_all(&row(&value_of(&id))).ok()?;
    }
    None
}

fn bad_client(at: SocketAddr, number: u64, end: Instant, record: &Record) {
    let mut id = 0x7000_0000_0000_0000 + (number << 32);
    let value = "9f".repeat(VALUE);
    while Instant::now() < end {
        let Ok(mut io) = TcpStream::connect(at) else {
            thread::sleep(ms(100));
            continue;
        };
        let Ok(mut read) = io.try_clone() else { continue };
        let reader = thread::spawn(move || {
            let (mut bytes, mut buffer) = (0, [0; 65_536]);
            while let Ok(n @ 1..) = read.read(&mut buffer) {
                bytes += n;
            }
            bytes
        });
        let _ = io.write_all(&startup());
        let mut sent = 0;
        for _ in 0..COMMANDS {
            id += 1;
            let text = format!(
                "INSERT INTO rows (handle, blob) VALUES ('{id:016x}', '\\x{value}') RETURNING blob /* id={id:016x},c=draft-save,t=firm-a,d=3000 */"
            );
            if Instant::now() >= end || io.write_all(&query(&text)).is_err() {
                break;
            }
            sent += 1;
        }
        let _ = io.shutdown(Shutdown::Both);
        let bytes = reader.join().unwrap_or(0);
        record.write(&format!("bad client {number} sent {sent} commands and was sent {bytes} bytes"));
    }
}

fn main() {
    let folder = std::path::PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder")));
    let record = Record::create(&folder.join("record.txt"));
    let hosts: Vec<Host> = (0..MACHINES)
        .map(|i| {
            let name = format!("m{i}");
            Host::new(&name, machine(name.clone(), record.clone()))
        })
        .collect();
    let (discovery, platform) = (Discovery::start(&hosts), Platform::start(41));
    let lanes = [lane("return-lookup", "free", 3_000, ""), lane("draft-save", "free", 3_000, "")];
    let mut node = Node::start(&discovery, &platform, &settings(&lanes), MEMORY_MB, SOCKETS);
    let (ids, served, other, lost) = (Counter::default(), Counter::default(), Counter::default(), Counter::default());
    let end = Instant::now() + PLAY;
    for c in 0..USUAL {
        let (record, ids, at) = (record.clone(), ids.clone(), node.at);
        let (served, other, lost) = (served.clone(), other.clone(), lost.clone());
        thread::spawn(move || {
            let (mut rng, mut client) = (Rng(c), None);
            while Instant::now() < end {
                let Some(io) = client.as_mut() else {
                    thread::sleep(ms(100));
                    client = Client::connect(at);
                    continue;
                };
                let id = 0x6000_0000_0000_0000 + ids.add();
                let answer = io.rpc(&lookup(id, rng.next(), "return-lookup", 3_000));
                record.write(&format!("client {c} asked {id:016x}: {}", match &answer {
                    Answer::Value(_) => "value".to_string(),
                    a => format!("{a:?}"),
                }));
                match answer {
                    Answer::Value(_) => served.add(),
                    Answer::Closed | Answer::Silent => {
                        client = None;
                        lost.add()
                    }
                    _ => other.add(),
                };
                thread::sleep(ms(150 + rng.next() % 200));
            }
        });
    }
    let began = Instant::now();
    if trouble() {
        for number in 0..BAD {
            let (record, at) = (record.clone(), node.at);
            thread::spawn(move || {
                thread::sleep(CALM);
                bad_client(at, number, end, &record);
            });
        }
    }
    let (mut most, mut over, mut told) = (0, None, 0);
    while Instant::now() < end && over.is_none() {
        if node.has_ended() {
            eprintln!("{}", node.log());
            over = Some("ended by itself");
            break;
        }
        let memory = node.own_memory_kb();
        most = most.max(memory);
        if memory > MEMORY_MB * 1_024 {
            over = Some("was killed for its memory");
        }
        if began.elapsed().as_secs() > told {
            told = began.elapsed().as_secs();
            record.write(&format!("the platform finds {memory} KiB of {}", MEMORY_MB * 1_024));
        }
        thread::sleep(ms(10));
    }
    if over.is_some() {
        record.write(&format!("the platform finds {most} KiB of {} and kills the node", MEMORY_MB * 1_024));
        let _ = node.child.kill();
        thread::sleep(ms(500));
    }
    let line = format!(
        "at most {most} KiB of {} KiB; the node {}; usual clients: served {}, refused or failed {}, closed without an answer {}",
        MEMORY_MB * 1_024, over.unwrap_or("stayed below its limit"), served.get(), other.get(), lost.get()
    );
    record.write(&line);
    println!("{line}");
    drop(node);
    if served.get() < 50 {
        cannot_run("too few requests were served");
    }
    std::process::exit(i32::from(over.is_some()));
}
