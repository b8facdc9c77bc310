//! A plain reverse proxy on hyper, one thread, random pick: what the front is measured against. Usage:
//! rockpick-proxy MACHINE [MACHINE ...]
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
        return Err("machines' addresses are wanted".into());
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
    let (machines, chance) = (Rc::new(machines), Rc::new(RefCell::new(StdRng::seed_from_u64(1))));
    loop {
        let Ok((io, _)) = listener.accept().await else { continue };
        io.set_nodelay(true)?;
        let (client, machines, chance) = (client.clone(), machines.clone(), chance.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |mut request: Request<Incoming>| {
                let to = &machines[chance.borrow_mut().random_range(0..machines.len())];
                let path = request.uri().path_and_query().map_or("/", |p| p.as_str()).to_string();
                let uri = format!("http://{to}{path}").parse::<Uri>();
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
