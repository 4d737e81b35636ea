//! Arguments of the operator's command.

use crate::error::Error;
use crate::{capacity, config, demo, explain, load, policy, quarantine, standin, vm};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::net::SocketAddr;

/// Variable that holds the operators' key.
pub const KEY_VARIABLE: &str = "CROSSLANE_OPERATOR_KEY";

/// Parses the arguments and runs the command.
pub fn run() -> Result<(), Error> {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(dispatch(&matches))
}

async fn dispatch(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("config", inner)) => match inner.subcommand() {
            Some(("check", check)) => {
                let file = text(check, "file")?;
                let settings = config::load(&file)?;
                println!("{file}: {} runners, settings are right", settings.runners.len());
                Ok(())
            }
            _ => Ok(()),
        },
        Some(("demo", inner)) => demo::run(inner.get_flag("keep")).await,
        Some(("load", inner)) => load::run(&load::Options::try_from(inner)?).await,
        Some(("status", inner)) => vm::status(&vm::Access::try_from(inner)?).await,
        Some(("vm", inner)) => vm::run(inner).await,
        Some(("policy", inner)) => policy::run(inner).await,
        Some(("quarantine", inner)) => quarantine::run(inner).await,
        Some(("explain", inner)) => explain::run(&text(inner, "request")?),
        Some(("capacity", inner)) => capacity::run(&text(inner, "file")?),
        Some(("stand-in", inner)) => standin::run(inner).await,
        _ => Ok(()),
    }
}

/// The value of a required argument.
pub fn text(matches: &ArgMatches, name: &str) -> Result<String, Error> {
    let missing = || Error::Argument { message: format!("{name} is missing") };
    matches.get_one::<String>(name).cloned().ok_or_else(missing)
}

/// The value of a numeric argument, which has a default.
pub fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

/// The value of a required address.
pub fn address(matches: &ArgMatches, name: &str) -> Result<SocketAddr, Error> {
    let missing = || Error::Argument { message: format!("{name} is missing") };
    matches.get_one::<SocketAddr>(name).copied().ok_or_else(missing)
}

fn command() -> Command {
    Command::new("crosslane")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates crosslane: settings, policy, leaving VMs, load")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("config").about("Checks settings").subcommand_required(true).subcommand(
                Command::new("check").about("Checks a settings file").arg(file("file")),
            ),
        )
        .subcommand(
            Command::new("demo")
                .about("Runs three nodes and stand-ins on loopback and sends requests")
                .arg(flag("keep", "Leave everything up until interrupted")),
        )
        .subcommand(load_command())
        .subcommand(access(Command::new("status").about("Shows a node's status")))
        .subcommand(vm_command())
        .subcommand(policy_command())
        .subcommand(quarantine_command())
        .subcommand(
            Command::new("explain")
                .about("Tells the story of a request from nodes' logs on standard input")
                .arg(Arg::new("request").value_name("REQUEST-ID").required(true)),
        )
        .subcommand(
            Command::new("capacity")
                .about("Redoes the arithmetic of docs/CAPACITY.md")
                .arg(file("file").required(false).default_value("docs/capacity.json")),
        )
        .subcommand(standin_command())
}

fn load_command() -> Command {
    Command::new("load")
        .about("Sends requests at a set rate and reports goodput under both targets")
        .arg(addresses("to", "Callers' address of a node").required(true))
        .arg(addresses("operator", "Operators' port of a node, to report wasted prefill"))
        .arg(key_file())
        .arg(count("rate", "50", "Requests per second"))
        .arg(count("seconds", "10", "Length of the run"))
        .arg(count("prompt-min", "50", "Shortest prompt, in tokens"))
        .arg(count("prompt-max", "2000", "Longest prompt, in tokens"))
        .arg(count("max-tokens", "64", "Most tokens to generate"))
        .arg(count("first-ms", "490", "Target for the first output"))
        .arg(count("between-ms", "39", "Target between outputs"))
        .arg(count("service-percent", "0", "Share of calls to the service"))
        .arg(count("keyed-percent", "0", "Share of requests with an idempotency key"))
        .arg(count("deadline-ms", "0", "Deadline to send; zero for none"))
        .arg(count("organisations", "8", "Organisations that the requests come from"))
        .arg(count("seed", "1", "Seed of arrivals and prompts"))
        .arg(option("model", "reply", "Model to ask"))
        .arg(option("service-path", "/booking/confirm", "Path of the service"))
        .arg(flag("verify", "Compare each answer with the stand-ins' definition"))
        .arg(flag("json", "Print the report as JSON"))
        .arg(flag("quiet", "Print no progress"))
}

fn vm_command() -> Command {
    let name = || Arg::new("vm").value_name("VM").required(true);
    Command::new("vm")
        .about("Announces VMs as leaving and shows when they are safe to stop")
        .subcommand_required(true)
        .subcommand(
            access(Command::new("leave").about("Announces a VM as leaving").arg(name()))
                .arg(flag("wait", "Wait until it is safe to stop")),
        )
        .subcommand(access(
            Command::new("stop")
                .about("Announces a VM and waits until it is safe to stop")
                .arg(name()),
        ))
        .subcommand(access(Command::new("back").about("Takes a VM back into use").arg(name())))
        .subcommand(
            access(Command::new("status").about("Shows what is in progress on a VM").arg(name()))
                .arg(flag("wait", "Wait until it is safe to stop")),
        )
}

fn policy_command() -> Command {
    let log = || one_address("log", "Address of the platform's log").required(true);
    Command::new("policy")
        .about("Checks, publishes and shows policies")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Checks a policy program").arg(file("file")))
        .subcommand(
            Command::new("publish")
                .about("Publishes a policy program")
                .arg(file("file"))
                .arg(log())
                .arg(
                    Arg::new("id")
                        .long("id")
                        .value_name("ID")
                        .help("Identity; the same one again changes nothing"),
                )
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Version it was written against; the newest if not given"),
                )
                .arg(option("author", "operator", "Who publishes"))
                .arg(count("patience-ms", "30000", "Time to wait with --wait"))
                .arg(flag("wait", "Wait until it is accepted, and show who is missing")),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Takes back a policy that is not accepted yet")
                .arg(Arg::new("id").value_name("ID").required(true))
                .arg(log()),
        )
        .subcommand(Command::new("show").about("Shows the newest policy").arg(log()))
        .subcommand(Command::new("history").about("Lists the policies").arg(log()))
        .subcommand(
            Command::new("diff")
                .about("Compares the newest policy with a file")
                .arg(file("file"))
                .arg(log()),
        )
}

fn quarantine_command() -> Command {
    let store = || one_address("store", "Address of the platform's store").required(true);
    let fingerprint = Arg::new("fingerprint").value_name("FINGERPRINT").required(true);
    Command::new("quarantine")
        .about("Shows requests under which endpoints ended, and lets them in again")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists what was decided").arg(store()))
        .subcommand(
            Command::new("lift").about("Lets a request in again").arg(fingerprint).arg(store()),
        )
}

fn standin_command() -> Command {
    Command::new("stand-in")
        .hide(true)
        .about("Runs a stand-in on a port of its own")
        .arg(Arg::new("kind").required(true).value_parser(["engine", "service", "log", "vms"]))
        .arg(count("slots", "20", "Requests decoded at once"))
        .arg(count("kv-tokens", "200000", "KV cache, in tokens"))
        .arg(count("prefill-rate", "20000", "Tokens prefilled per second"))
        .arg(count("step-micros", "5000", "Time of a decode step"))
        .arg(count("crowd-micros", "200", "Added per further request"))
        .arg(count("link-rate", "2000000000", "Bytes per second"))
        .arg(count("life-millis", "900", "Life of a finished prefill"))
        .arg(count("lag-millis", "500", "Lag of reports and of the list"))
        .arg(flag("no-fencing", "Obey orders with an old fencing number"))
}

fn access(command: Command) -> Command {
    command.arg(one_address("node", "Operators' port of a node").required(true)).arg(key_file())
}

fn one_address(name: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(SocketAddr);
    Arg::new(name).long(name).value_name("IP:PORT").value_parser(parser).help(help)
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    one_address(name, help).action(ArgAction::Append)
}

fn key_file() -> Arg {
    Arg::new("key-file")
        .long("key-file")
        .value_name("FILE")
        .help("File with the operators' key; else CROSSLANE_OPERATOR_KEY")
}

fn file(name: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").required(true)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, default, help).value_parser(value_parser!(u64))
}

fn option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}
