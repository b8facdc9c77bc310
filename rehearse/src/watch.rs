//! Records every line of a watch of the controller with the time at which it was received.
use rockpick_fakes::record::Record;
use rockpick_net::{http, take_line, Call, Event, Net, MS, SEC};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Watches until `stop` is set, and opens a new watch when a stream ends.
pub fn watch(controller: SocketAddr, file: &Path, stop: Arc<AtomicBool>) -> Result<(), String> {
    let describe = |err: std::io::Error| err.to_string();
    let mut record = Record::open(Some(file)).map_err(describe)?;
    let mut net = Net::new(1).map_err(describe)?;
    let request = http::encode_request("GET", "/watch", &controller.to_string(), &[], b"");
    let (mut events, mut line, mut call) = (Vec::new(), Vec::new(), None);
    while !stop.load(Ordering::Relaxed) {
        if call.is_none() {
            let watch_call = Call {
                to: controller,
                request: &request,
                connect_within: SEC,
                stream: true,
                head_only: false,
            };
            call = Some(net.call(&mut events, watch_call));
        }
        net.turn(&mut events, 50 * MS).map_err(describe)?;
        for event in events.drain(..) {
            match event {
                Event::CallData { bytes, .. } => {
                    line.extend_from_slice(&bytes);
                    while let Some(complete) = take_line(&mut line) {
                        let value: Value = serde_json::from_slice(&complete).unwrap_or(Value::Null);
                        record.write(json!({ "line": value }));
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
