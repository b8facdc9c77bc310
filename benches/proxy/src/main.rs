//! A plain reverse proxy on hyper, the baseline of `rockpick bench front`: one thread, machines chosen at random.
//!
//! Usage: `rockpick-proxy MACHINE [MACHINE ...]`, with the machines' addresses.
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;

type Error = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), Error> {
    let machines: Vec<String> = std::env::args().skip(1).collect();
    if machines.is_empty() {
        return Err("expected the addresses of machines".into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(machines))
}

async fn serve(machines: Vec<String>) -> Result<(), Error> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    println!("listening {}", listener.local_addr()?);
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<_, Incoming> = Client::builder(TokioExecutor::new()).build(connector);
    let (machines, rng) = (Rc::new(machines), Rc::new(RefCell::new(StdRng::seed_from_u64(1))));
    loop {
        let Ok((io, _)) = listener.accept().await else { continue };
        io.set_nodelay(true)?;
        let (client, machines, rng) = (client.clone(), machines.clone(), rng.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |mut request: Request<Incoming>| {
                let machine = &machines[rng.borrow_mut().random_range(0..machines.len())];
                let path = request.uri().path_and_query().map_or("/", |p| p.as_str()).to_string();
                let uri = format!("http://{machine}{path}").parse::<Uri>();
                let client = client.clone();
                async move {
                    *request.uri_mut() = uri?;
                    request.headers_mut().remove(hyper::header::HOST);
                    Ok::<Response<Incoming>, Error>(client.request(request).await?)
                }
            });
            let _ =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(io), service).await;
        });
    }
}
