//! A watcher of the controller: every line that it tells, with the time at which it came.
use rockpick_fakes::record::Record;
use rockpick_net::{http, take_line, Call, Event, Net, MS, SEC};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Watches until told to stop, asking again when the stream ends.
pub fn watch(controller: SocketAddr, file: &Path, stop: Arc<AtomicBool>) -> Result<(), String> {
    let say = |err: std::io::Error| err.to_string();
    let mut record = Record::open(Some(file)).map_err(say)?;
    let mut net = Net::new(1).map_err(say)?;
    let request = http::encode_request("GET", "/watch", &controller.to_string(), &[], b"");
    let (mut events, mut line, mut call) = (Vec::new(), Vec::new(), None);
    while !stop.load(Ordering::Relaxed) {
        if call.is_none() {
            let asked = Call {
                to: controller,
                request: &request,
                connect_within: SEC,
                stream: true,
                head_only: false,
            };
            call = Some(net.call(&mut events, asked));
        }
        net.turn(&mut events, 50 * MS).map_err(say)?;
        for event in events.drain(..) {
            match event {
                Event::CallData { bytes, .. } => {
                    line.extend_from_slice(&bytes);
                    while let Some(whole) = take_line(&mut line) {
                        let said: Value = serde_json::from_slice(&whole).unwrap_or(Value::Null);
                        record.write(json!({ "line": said }));
                    }
                }
                Event::CallEnded { .. } => {
                    (call, line) = (None, Vec::new());
                    std::thread::sleep(std::time::Duration::from_millis(100));
                }
                _ => {}
            }
        }
    }
    Ok(())
}
