//! The command line: `rockpick`. Exit codes: 0 good, 1 a rule broken or a check failed, 2 bad use.
mod ask;
mod bench;

use clap::{Args, Parser, Subcommand, ValueEnum};
use rockpick_control::Charter;
use rockpick_net::{MS, SEC};
use rockpick_standin::{Bad, Clients, Load, Machine};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "rockpick",
    version,
    about = "A release controller, and the router that shifts traffic between builds"
)]
struct Cli {
    /// How log lines look, on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: Log,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum Log {
    Json,
    Text,
}

#[derive(Args)]
struct Listen {
    /// Address to listen on; port 0 takes one from the system and prints it.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[derive(Args)]
struct At {
    /// The controller's address.
    #[arg(long)]
    controller: SocketAddr,
}

#[derive(Subcommand)]
enum What {
    /// Runs the release controller.
    Controller {
        #[command(flatten)]
        listen: Listen,
        /// Folder of the snapshot; without it nothing outlives the process.
        #[arg(long)]
        state: Option<PathBuf>,
    },
    /// Runs a front.
    Front {
        #[command(flatten)]
        listen: Listen,
        #[command(flatten)]
        at: At,
        /// Its name among the settings' fronts.
        #[arg(long)]
        name: String,
        /// Folder of the snapshot from which it comes up at once.
        #[arg(long)]
        state: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Most client connections.
        #[arg(long, default_value_t = 20_000)]
        clients: usize,
        /// Measure the time spent in the module.
        #[arg(long)]
        profile: bool,
        /// Address that other fronts are told for notes, where it differs (a relay, address translation).
        #[arg(long)]
        notes_at: Option<SocketAddr>,
    },
    /// Runs a stand-in machine.
    Machine {
        #[command(flatten)]
        listen: Listen,
        #[command(flatten)]
        at: At,
        #[arg(long)]
        name: String,
        /// Its place among the settings' places.
        #[arg(long)]
        place: String,
        #[arg(long)]
        build: u32,
        #[arg(long, default_value_t = 1)]
        cores: usize,
        /// Speed of a core; 1 does a second of work a second.
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
        /// A bad build: errors, method, slow, load, late, wrong or shared, and how much (errors:0.3).
        #[arg(long)]
        bad: Option<String>,
        /// File for the record of what arrived and ran.
        #[arg(long)]
        record: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// It has run for long: warm from the start.
        #[arg(long)]
        warm: bool,
    },
    /// Runs stand-in clients.
    Client {
        #[command(flatten)]
        listen: Listen,
        #[command(flatten)]
        at: At,
        /// Addresses of fronts, in the order of the settings' fronts; those that watch the controller if left out.
        #[arg(long, value_delimiter = ',')]
        fronts: Vec<SocketAddr>,
        /// RPCs a second.
        #[arg(long, default_value_t = 50.0)]
        rate: f64,
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        retries: u32,
        /// Mean work of an RPC, ms.
        #[arg(long, default_value_t = 50.0)]
        work_ms: f64,
        /// Share of wrong answers that clients dispute.
        #[arg(long, default_value_t = 0.3)]
        disputes: f64,
        #[arg(long)]
        record: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A front that breaks a rule on purpose, for the rehearsal's checker.
    #[command(hide = true)]
    Faulty {
        #[command(flatten)]
        listen: Listen,
        #[command(flatten)]
        at: At,
        #[arg(long)]
        name: String,
        #[arg(long)]
        breaks: u8,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Plays a scripted day on loopback and judges it by what crossed the sockets.
    Rehearse(Box<rockpick_rehearse::Plan>),
    /// Gives, gets or checks settings.
    Settings {
        #[command(subcommand)]
        what: Settings,
    },
    /// Offers a build.
    Offer {
        #[command(flatten)]
        at: At,
        build: u32,
    },
    /// Sends the newest build back.
    Back {
        #[command(flatten)]
        at: At,
        build: u32,
    },
    /// Shows stage, machines, fronts and votes.
    Status {
        #[command(flatten)]
        at: At,
        /// The controller's own JSON.
        #[arg(long)]
        json: bool,
    },
    /// Measures.
    Bench {
        #[command(subcommand)]
        what: Bench,
    },
}

#[derive(Subcommand)]
enum Bench {
    /// One front on one core against direct calls and a plain proxy, in one run.
    Front(bench::Front),
}

#[derive(Subcommand)]
enum Settings {
    /// Prints a whole document to begin with.
    Example {
        #[arg(long, default_value_t = 2)]
        fronts: usize,
        #[arg(long, default_value_t = 6)]
        places: usize,
    },
    /// Checks a document without giving it; `-` reads standard input.
    Check { file: PathBuf },
    /// Prints the settings in force.
    Get {
        #[command(flatten)]
        at: At,
    },
    /// Gives a document; a refused one changes nothing.
    Put {
        #[command(flatten)]
        at: At,
        file: PathBuf,
    },
}

/// A plain error in use: exit code 2.
pub struct Bad2(pub String);

fn ready(at: SocketAddr) {
    println!("listening {at}");
    let _ = std::io::stdout().flush();
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false);
    match cli.log {
        Log::Json => lines.json().flatten_event(true).init(),
        Log::Text => lines.with_ansi(false).init(),
    }
    match act(cli.what) {
        Ok(code) => code,
        Err(Bad2(why)) => {
            eprintln!("rockpick: {why}");
            ExitCode::from(2)
        }
    }
}

fn act(what: What) -> Result<ExitCode, Bad2> {
    let good = Ok(ExitCode::SUCCESS);
    match what {
        What::Controller { listen, state } => {
            rockpick_control::Controller { listen: listen.listen, state }.run(ready).map_err(Bad2)?;
            good
        }
        What::Front { listen, at, name, state, seed, clients, profile, notes_at } => {
            let opening = rockpick_front::Opening {
                name,
                listen: listen.listen,
                controller: at.controller,
                state,
                seed,
                profile,
                most_clients: clients,
                notes_at,
            };
            rockpick_front::run(opening, ready).map_err(Bad2)?;
            good
        }
        What::Machine { listen, at, name, place, build, cores, speed, bad, record, seed, warm } => {
            let bad = match bad {
                None => None,
                Some(text) => {
                    Some(Bad::read(&text).ok_or(Bad2(format!("--bad {text}: KIND:SIZE is wanted")))?)
                }
            };
            if !(speed > 0.0 && speed <= 1e3 && (1..=1024).contains(&cores)) {
                return Err(Bad2("--speed: above 0; --cores: 1 to 1024".into()));
            }
            let (listen, controller) = (listen.listen, at.controller);
            let m = Machine { name, place, build, listen, controller, cores, speed, bad, record, seed, warm };
            m.run(ready).map_err(Bad2)?;
            good
        }
        What::Client { listen, at, fronts, rate, seconds, retries, work_ms, disputes, record, seed } => {
            let charter = ask::settings(at.controller)?;
            let (names, fronts) = match fronts.is_empty() {
                true => ask::fronts(at.controller)?,
                false => (charter.fronts.iter().map(|f| f.name.clone()).take(fronts.len()).collect(), fronts),
            };
            if fronts.is_empty() || names.len() != fronts.len() {
                return Err(Bad2("no fronts, or more addresses than there are fronts".into()));
            }
            if !(rate > 0.0 && seconds > 0.0 && work_ms > 0.0) {
                return Err(Bad2("--rate, --seconds and --work-ms must be above 0".into()));
            }
            let clients = Clients {
                fronts,
                names,
                charter,
                load: Load { rate, ..Load::default() },
                listen: listen.listen,
                lasts: (seconds * SEC as f64) as i64,
                retries,
                work_ms,
                disputes,
                record,
                seed,
            };
            let (t, times) = clients.run(ready).map_err(Bad2)?;
            let ms = |q: f64| times.value_at_quantile(q) as f64 / (MS / 1_000) as f64;
            println!("service {:.3}  rpcs {}  ok {}  late {}  pushed back {}  aborted {}  unanswered {}  not sent {}",
                t.served / t.asked.max(1e-9), t.rpcs, t.ok, t.late, t.pushed_back, t.aborted, t.unanswered, t.not_sent);
            println!("ok after ms: p50 {:.1}  p90 {:.1}  p99 {:.1}", ms(0.5), ms(0.9), ms(0.99));
            good
        }
        What::Faulty { listen, at, name, breaks, seed } => {
            let (listen, controller) = (listen.listen, at.controller);
            rockpick_standin::Faulty { name, listen, controller, breaks, seed }.run(ready).map_err(Bad2)?;
            good
        }
        What::Rehearse(plan) => match rockpick_rehearse::run(*plan) {
            Ok(kept) => Ok(if kept { ExitCode::SUCCESS } else { ExitCode::from(1) }),
            Err(why) => Err(Bad2(why)),
        },
        What::Settings { what } => settings(what),
        What::Offer { at, build } => {
            ask::say(at.controller, "POST", "/builds", &format!("{{\"build\":{build}}}"))
        }
        What::Back { at, build } => ask::say(at.controller, "POST", &format!("/builds/{build}/back"), ""),
        What::Status { at, json } => ask::status(at.controller, json),
        What::Bench { what: Bench::Front(front) } => front.run(),
    }
}

fn read(file: &std::path::Path) -> Result<Vec<u8>, Bad2> {
    let mut text = Vec::new();
    let done = if file.as_os_str() == "-" {
        std::io::Read::read_to_end(&mut std::io::stdin(), &mut text).map(drop)
    } else {
        std::fs::read(file).map(|t| text = t)
    };
    done.map_err(|err| Bad2(format!("{}: {err}", file.display())))?;
    Ok(text)
}

fn settings(what: Settings) -> Result<ExitCode, Bad2> {
    match what {
        Settings::Example { fronts, places } => {
            let charter = Charter::example(fronts, places);
            if let Some(wrong) = charter.check().first() {
                return Err(Bad2(format!("{}: {}", wrong.field, wrong.why)));
            }
            println!("{}", serde_json::to_string_pretty(&charter).unwrap_or_default());
            Ok(ExitCode::SUCCESS)
        }
        Settings::Check { file } => match Charter::read(&read(&file)?) {
            Ok(_) => {
                println!("good");
                Ok(ExitCode::SUCCESS)
            }
            Err(wrong) => {
                wrong.iter().for_each(|w| println!("{}: {}", w.field, w.why));
                Ok(ExitCode::from(1))
            }
        },
        Settings::Get { at } => ask::say(at.controller, "GET", "/settings", ""),
        Settings::Put { at, file } => {
            let text = read(&file)?;
            // What `get` prints may be given back as it is.
            let text = match serde_json::from_slice::<serde_json::Value>(&text) {
                Ok(mut value) if value.get("settings").is_some() => value["settings"].take().to_string(),
                _ => String::from_utf8_lossy(&text).into_owned(),
            };
            ask::say(at.controller, "PUT", "/settings", &text)
        }
    }
}
