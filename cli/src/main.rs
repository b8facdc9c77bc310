//! The command line: `rockpick`. Exit codes: 0 good, 1 a rule broken or a check failed, 2 bad use.

/// In place of the standard one, which ends the process by a panic when nobody reads.
macro_rules! println {
    ($($words:tt)*) => { rockpick_rehearse::write_stdout(format_args!("{}\n", format_args!($($words)*))) };
}

macro_rules! print {
    ($($words:tt)*) => { rockpick_rehearse::write_stdout(format_args!($($words)*)) };
}

mod ask;
mod bench;
mod fleet;
mod lab;
mod load;
mod log_writer;
mod storms;
mod tenants;

use clap::{Args, Parser, Subcommand, ValueEnum};
use rockpick_control::settings::is_valid_name;
use rockpick_fakes::{Clients, Defect, Load, Machine};
use rockpick_net::{MS, SEC};
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
    /// A file that says how disks lie (see the package files): for storms.
    #[arg(long, global = true, hide = true)]
    disk_lies: Option<PathBuf>,
    /// By how many parts of a million clocks run fast, a hundredth at most: for storms.
    #[arg(long, global = true, hide = true, value_parser = clap::value_parser!(i64).range(-10_000..=10_000))]
    clock_ppm: Option<i64>,
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

/// The company that a front keeps; without an address to listen on it keeps none.
#[derive(Args)]
struct CircleArgs {
    /// Address for datagrams of peers.
    #[arg(long)]
    peers_listen: Option<SocketAddr>,
    /// Addresses of peers to begin with, by commas.
    #[arg(long, visible_alias = "join", value_delimiter = ',', requires = "peers_listen")]
    peers: Vec<SocketAddr>,
    /// Address that peers are told, where it differs (a relay, address translation).
    #[arg(long, requires = "peers_listen")]
    peers_at: Option<SocketAddr>,
    /// File of the group's key, 16 bytes or more.
    #[arg(long, requires = "peers_listen")]
    peers_key: Option<PathBuf>,
    /// One peer is probed a period.
    #[arg(long, default_value_t = 1_000, requires = "peers_listen")]
    peers_period_ms: u64,
}

impl CircleArgs {
    fn circle(self) -> Result<Option<rockpick_peers::Config>, Bad2> {
        let Some(listen) = self.peers_listen else { return Ok(None) };
        let file = self.peers_key.ok_or(Bad2("--peers-key: peers need the group's key".into()))?;
        let key = std::fs::read(&file).map_err(|err| Bad2(format!("{}: {err}", file.display())))?;
        let probe_period = i64::try_from(self.peers_period_ms.min(1 << 32)).unwrap_or(0) * MS;
        let circle = rockpick_peers::Config {
            join: self.peers,
            listen,
            advertised: self.peers_at,
            key,
            probe_period,
            row_log: None,
        };
        circle.check().map_err(Bad2)?;
        Ok(Some(circle))
    }
}

#[derive(Subcommand)]
enum PeersWhat {
    /// Who is there, as one front holds it.
    Show {
        #[arg(long)]
        front: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// The rows of one table, as one front holds them.
    State {
        #[arg(long)]
        front: SocketAddr,
        /// builds, machines, bindings, evidence or spent.
        #[arg(long, default_value = "builds")]
        table: String,
        #[arg(long)]
        json: bool,
    },
    /// Rows that fronts hold differently; ends with 1 where there are any.
    Differ {
        /// Two fronts or more, by commas.
        #[arg(long, value_delimiter = ',', required = true)]
        fronts: Vec<SocketAddr>,
    },
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
        /// The repository of signed builds, served under /repo.
        #[arg(long)]
        repo: Option<PathBuf>,
    },
    /// Runs the agent of a place: fetches, checks, starts, drains and takes back builds.
    Agent {
        #[command(flatten)]
        at: At,
        /// Its place among the settings' places.
        #[arg(long)]
        machine: String,
        /// Folder for what it trusts, artefacts and records of processes.
        #[arg(long)]
        state: PathBuf,
        /// The root to trust, where none is trusted yet.
        #[arg(long)]
        root: Option<PathBuf>,
        /// Most bytes a second that a fetch takes.
        #[arg(long, default_value_t = 50e6)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Builds end with the agent; else they run on without it.
        #[arg(long)]
        take_down: bool,
    },
    /// Keeps a repository of signed builds.
    Repo {
        #[command(subcommand)]
        what: RepoDo,
    },
    /// Runs a live front node on the platform's own protocol, as the PROXY_ variables tell.
    Node {
        #[command(flatten)]
        circle: CircleArgs,
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
        #[command(flatten)]
        circle: CircleArgs,
    },
    /// The fronts that keep company: who is there.
    Peers {
        #[command(subcommand)]
        what: PeersWhat,
    },
    /// Plays storms of faults upon fronts that keep company, each a process of its own; 1 when one broke something.
    Storm {
        /// How many fronts.
        #[arg(long, default_value_t = 5)]
        peers: usize,
        /// How many storms are drawn.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Storms at once.
        #[arg(long, default_value_t = 4)]
        lanes: usize,
        /// Shrinks the first that breaks something to what it needs; some minutes.
        #[arg(long)]
        shrink: bool,
        /// Plays this plan alone, as a storm has printed it.
        #[arg(long)]
        plan: Option<PathBuf>,
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
        /// An agent speaks for it.
        #[arg(long)]
        agent: bool,
    },
    /// Runs a stand-in directory (LDAPv3).
    Directory {
        #[command(flatten)]
        listen: Listen,
        /// Address where its content and faults are set, over HTTP.
        #[arg(long, default_value = "127.0.0.1:0")]
        control: SocketAddr,
        /// Begins with TLS.
        #[arg(long)]
        ldaps: bool,
        /// The name in its certificate.
        #[arg(long, default_value = "localhost")]
        name: String,
        /// Its certificate is out of date.
        #[arg(long)]
        expired: bool,
        /// DN=PASSWORD that may bind, may be given several times; without any, anyone may.
        #[arg(long)]
        account: Vec<String>,
    },
    /// Says that tenants which a directory no longer shows are really gone; to all fronts that watch a
    /// controller, or to those named.
    Confirm {
        #[arg(long, required_unless_present = "front")]
        controller: Option<SocketAddr>,
        /// Addresses of fronts.
        #[arg(long, value_delimiter = ',')]
        front: Vec<SocketAddr>,
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
    /// Plays a day on the emulator, in virtual time, and judges it by the same checker.
    Emulate(Box<lab::Emulate>),
    /// Sends load at real fronts: an open loop on a schedule fixed beforehand.
    Load(Box<load::Loading>),
    /// Compares choices on the emulator, by pairs of days, with error bars.
    Experiment {
        #[command(subcommand)]
        what: lab::Experiment,
    },
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

#[derive(Args)]
struct At2 {
    /// Folder of the repository.
    #[arg(long)]
    dir: PathBuf,
    /// Folder of the keys; only those of the roles that sign need be there.
    #[arg(long)]
    keys: PathBuf,
}

#[derive(Subcommand)]
enum RepoDo {
    /// Makes a repository, and keys of its own for each role.
    Init {
        #[command(flatten)]
        at: At2,
        /// Keys of each role, all of which must sign.
        #[arg(long, default_value_t = 1)]
        many: usize,
    },
    /// Takes a build in.
    Add {
        #[command(flatten)]
        at: At2,
        #[arg(long)]
        build: u32,
        /// Pack it with zstd.
        #[arg(long)]
        pack: bool,
        artefact: PathBuf,
    },
    /// Signs a role anew, with a new version and expiry.
    Sign {
        #[command(flatten)]
        at: At2,
        role: String,
    },
    /// Gives a role new keys in place of its old ones.
    Rotate {
        #[command(flatten)]
        at: At2,
        role: String,
    },
    /// Walks a client's way through all of it, from a trusted root.
    Verify {
        #[arg(long)]
        dir: PathBuf,
        /// The root to begin with; the repository's first if left out.
        #[arg(long)]
        root: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Bench {
    /// One front on one core against direct calls and a plain proxy, in one run.
    Front(bench::Front),
    /// Many agents on one controller: a stage, rollbacks, a controller's restart.
    Agents(fleet::Agents),
    /// A directory's entries: time, memory, lookups beside a plain hash map.
    Tenants(tenants::Tenants),
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
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log_writer = log_writer::LogWriter::begin(cli.log);
    let shared = log_writer.clone();
    let made = tracing_subscriber::fmt().with_writer(move || shared.clone()).with_target(false);
    match cli.log {
        Log::Json => made.json().flatten_event(true).init(),
        Log::Text => made.with_ansi(false).init(),
    }
    if let Some(file) = cli.disk_lies {
        rockpick_files::inject_faults_from(file);
    }
    rockpick_net::set_clock_skew(cli.clock_ppm.unwrap_or(0));
    let end = act(cli.what).and_then(|code| match rockpick_rehearse::stdout_error() {
        None => Ok(code),
        Some(why) => Err(Bad2(format!("standard output: {why}"))),
    });
    log_writer.end();
    match end {
        Ok(code) => code,
        Err(Bad2(why)) => {
            eprintln!("rockpick: {why}");
            ExitCode::from(2)
        }
    }
}

/// Names go into paths, targets and headers.
fn named(flag: &str, name: &str) -> Result<(), Bad2> {
    match is_valid_name(name) {
        true => Ok(()),
        false => Err(Bad2(format!("{flag} {name:?}: 1 to 64 letters, digits, '-', '_' or '.'"))),
    }
}

fn act(what: What) -> Result<ExitCode, Bad2> {
    let good = Ok(ExitCode::SUCCESS);
    match what {
        What::Controller { listen, state, repo } => {
            rockpick_control::Controller { listen: listen.listen, state, repo }.run(ready).map_err(Bad2)?;
            good
        }
        What::Node { circle } => {
            let mut config = rockpick_node::Config::read(|name| std::env::var(name).ok()).map_err(Bad2)?;
            config.circle = circle.circle()?;
            rockpick_node::run(config, ready).map_err(Bad2)?;
            good
        }
        What::Front { listen, at, name, state, seed, clients, profile, notes_at, circle } => {
            named("--name", &name)?;
            if clients == 0 {
                return Err(Bad2("--clients: 1 or more".into()));
            }
            // Their snapshots would be the controller's, and those of another front's tenants, or in its peers' way.
            let anothers = [".tenants", ".peers"].iter().any(|end| name.ends_with(end));
            if state.is_some() && (name == "controller" || anothers) {
                return Err(Bad2(format!("--name {name}: its snapshot would be another's")));
            }
            let mut circle = circle.circle()?;
            if let (Some(circle), Some(dir)) = (&mut circle, &state) {
                std::fs::create_dir_all(dir).map_err(|err| Bad2(format!("{}: {err}", dir.display())))?;
                circle.row_log = Some(dir.join(format!("{name}.peers.rows")));
            }
            let opening = rockpick_front::Options {
                name,
                listen: listen.listen,
                controller: at.controller,
                state,
                seed,
                profile,
                max_clients: clients,
                notes_at,
                peers: circle,
            };
            rockpick_front::run(opening, ready).map_err(Bad2)?;
            good
        }
        What::Peers { what } => match what {
            PeersWhat::Show { front, json } => ask::peers(front, json),
            PeersWhat::State { front, table, json } => ask::rows(front, &table, json),
            PeersWhat::Differ { fronts } => ask::differ(&fronts),
        },
        What::Storm { peers, seeds, first, lanes, shrink, plan } => {
            if !(2..=50).contains(&peers) {
                return Err(Bad2("--peers: 2 to 50".into()));
            }
            let read = |file: PathBuf| -> Result<rockpick_fault_injection::Plan, Bad2> {
                let named = |why: String| Bad2(format!("{}: {why}", file.display()));
                let text = std::fs::read_to_string(&file).map_err(|err| named(err.to_string()))?;
                rockpick_fault_injection::Plan::read(&text).map_err(named)
            };
            let plan = plan.map(read).transpose()?;
            let kept = storms::Storms { fronts: peers, first, seeds, lanes, plan, shrinks: shrink }.run()?;
            Ok(ExitCode::from(u8::from(!kept)))
        }
        What::Agent { at, machine, state, root, rate, seed, take_down } => {
            named("--machine", &machine)?;
            if !(1e3..=1e12).contains(&rate) {
                return Err(Bad2("--rate: 1000 to 1e12 bytes a second".into()));
            }
            let controller = at.controller;
            let agent =
                rockpick_agent::Agent { place: machine, controller, state, root, rate, seed, take_down };
            agent.run(|| println!("agent up")).map_err(Bad2)?;
            good
        }
        What::Repo { what } => repo(what),
        What::Machine { listen, at, name, place, build, cores, speed, bad, record, seed, warm, agent } => {
            named("--name", &name)?;
            named("--place", &place)?;
            let bad = match bad {
                None => None,
                Some(text) => {
                    Some(Defect::parse(&text).ok_or(Bad2(format!("--bad {text}: KIND:SIZE is wanted")))?)
                }
            };
            if !(speed > 0.0 && speed <= 1e3 && (1..=1024).contains(&cores)) {
                return Err(Bad2("--speed: above 0; --cores: 1 to 1024".into()));
            }
            let (listen, controller) = (listen.listen, at.controller);
            let m = Machine {
                name,
                place,
                build,
                listen,
                controller,
                cores,
                speed,
                bad,
                record,
                seed,
                warm,
                agent,
            };
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
                settings: charter,
                load: Load { rate, ..Load::default() },
                listen: listen.listen,
                duration: (seconds * SEC as f64) as i64,
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
        What::Directory { listen, control, ldaps, name, expired, account } => {
            let split = |a: &String| a.rsplit_once('=').map(|(dn, p)| (dn.to_string(), p.to_string()));
            let accounts: Option<Vec<(String, String)>> = account.iter().map(split).collect();
            let accounts = accounts.ok_or(Bad2("--account: DN=PASSWORD is wanted".into()))?;
            let listen = listen.listen;
            let server = rockpick_fakes::DirectoryServer { listen, control, ldaps, name, expired, accounts };
            let told = |at, control| {
                ready(at);
                println!("control {control}");
            };
            server.run(told).map_err(Bad2)?;
            good
        }
        What::Confirm { controller, front } => {
            let fronts = match controller {
                Some(at) if front.is_empty() => ask::fronts(at)?.1,
                _ => front,
            };
            // Each is told, whatever became of the others.
            let mut bad = fronts.is_empty();
            for front in &fronts {
                match ask::call(*front, "POST", "/directory/confirm", "") {
                    Ok(answer) => {
                        bad |= answer.status != 200;
                        println!("{front}: {}", String::from_utf8_lossy(&answer.body).trim_end());
                    }
                    Err(Bad2(why)) => {
                        bad = true;
                        println!("{front}: {why}");
                    }
                }
            }
            Ok(if bad { ExitCode::from(1) } else { ExitCode::SUCCESS })
        }
        What::Faulty { listen, at, name, breaks, seed } => {
            let (listen, controller) = (listen.listen, at.controller);
            rockpick_fakes::Faulty { name, listen, controller, breaks, seed }.run(ready).map_err(Bad2)?;
            good
        }
        What::Rehearse(plan) => match rockpick_rehearse::run(*plan) {
            Ok(kept) => Ok(if kept { ExitCode::SUCCESS } else { ExitCode::from(1) }),
            Err(why) => Err(Bad2(why)),
        },
        What::Emulate(emulate) => emulate.run(),
        What::Load(load) => load.run(),
        What::Experiment { what } => what.run(),
        What::Settings { what } => settings(what),
        What::Offer { at, build } => {
            ask::say(at.controller, "POST", "/builds", &format!("{{\"build\":{build}}}"))
        }
        What::Back { at, build } => ask::say(at.controller, "POST", &format!("/builds/{build}/back"), ""),
        What::Status { at, json } => ask::status(at.controller, json),
        What::Bench { what: Bench::Front(front) } => front.run(),
        What::Bench { what: Bench::Agents(agents) } => agents.run(),
        What::Bench { what: Bench::Tenants(tenants) } => tenants.run(),
    }
}

fn repo(what: RepoDo) -> Result<ExitCode, Bad2> {
    use rockpick_trust::repo::Repo;
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = wall.map_or(0, |d| d.as_secs() as i64);
    let open = |dir: PathBuf| Repo { dir, now };
    match what {
        RepoDo::Init { at, many } => open(at.dir).init(&at.keys, many).map_err(Bad2)?,
        RepoDo::Add { at, build, pack, artefact } => {
            println!("{}", open(at.dir).add(&at.keys, build, &artefact, pack).map_err(Bad2)?);
        }
        RepoDo::Sign { at, role } => open(at.dir).sign(&at.keys, &role).map_err(Bad2)?,
        RepoDo::Rotate { at, role } => open(at.dir).rotate(&at.keys, &role).map_err(Bad2)?,
        RepoDo::Verify { dir, root } => {
            let root = read(&root.unwrap_or_else(|| dir.join("metadata/1.root.json")))?;
            match open(dir).verify(&root) {
                Ok(builds) => println!("good: {}", builds.join(" ")),
                Err(why) => {
                    println!("refused: {why}");
                    return Ok(ExitCode::from(1));
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
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
            let charter = rockpick_control::Settings::example(fronts, places);
            if let Some(wrong) = charter.validate().first() {
                return Err(Bad2(format!("{}: {}", wrong.field, wrong.why)));
            }
            println!("{}", serde_json::to_string_pretty(&charter).unwrap_or_default());
            Ok(ExitCode::SUCCESS)
        }
        Settings::Check { file } => match rockpick_control::Settings::parse(&read(&file)?) {
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
