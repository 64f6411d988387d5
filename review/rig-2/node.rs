//! Processes of the program that the platform deploys, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Asks for a signal at the end of the thread that started the process.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The program, as `run` in deploy/system.toml names it.
const PROGRAM: &str = "target/release/dandelionspool-platform";

/// The template of its settings, as the deploy file names it.
const TEMPLATE: &str = "deploy/node.json";

/// First of the ports for messages between nodes. All nodes have the same ports and addresses of
/// their own.
const INTERNAL_PORT: u16 = 7380;
const READY_PORT: u16 = 8141;
const CONTROL_PORT: u16 = 8144;
const OUTBOUND_PORT: u16 = 8147;

/// What the settings of a deployment say of one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub service: String,
    pub store: SocketAddr,
    /// Whether the deployment names limits of tenants.
    pub quotas: bool,
}

/// Ids of all processes that run, for the end of a run that takes too long.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not ended.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        // SAFETY: `kill` takes two numbers; the process was started here and not waited for yet.
        unsafe { kill(pid, SIGKILL) };
    }
}

/// A node. Its process is killed when this is dropped.
pub struct Node {
    pub machine: Machine,
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    pub fn start(machine: Machine, folder: &Path, number: usize, bootstrap: bool) -> Self {
        let settings = folder.join(format!("node-{number}.json"));
        let log = folder.join(format!("node-{number}.log"));
        let node = Self { machine, child: Mutex::new(None), settings, log };
        node.launch(bootstrap);
        node
    }

    /// Starts the process. It ends with the thread that calls this, which has to be the main one: so it
    /// doesn't outlive a run that is ended from outside.
    pub fn launch(&self, bootstrap: bool) {
        let template = fs::read_to_string(TEMPLATE).expect("the template of the settings");
        fs::write(&self.settings, render(&template, &self.machine, bootstrap)).expect("settings");
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(PROGRAM);
        command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("DANDELIONSPOOL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        // SAFETY: `prctl` may be called between fork and exec, and takes numbers alone.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL as u64) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command.spawn().expect("the program of the deploy file");
        RUNNING.lock().unwrap_or_else(|e| e.into_inner()).push(pid_of(&child));
        *self.child.lock().unwrap_or_else(|e| e.into_inner()) = Some(child);
    }

    /// Sends `signal` to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
            // SAFETY: `kill` takes two numbers; the process was started here and not waited for yet.
            unsafe { kill(pid_of(child), signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        self.signal(SIGCONT);
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.lock().unwrap_or_else(|e| e.into_inner()).take() {
            RUNNING.lock().unwrap_or_else(|e| e.into_inner()).retain(|pid| *pid != pid_of(&child));
            let _ = child.wait();
        }
    }

    pub fn outbound(&self) -> SocketAddr {
        (self.machine.ip, OUTBOUND_PORT).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.machine.ip, CONTROL_PORT).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.machine.ip, READY_PORT).into()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn pid_of(child: &Child) -> i32 {
    i32::try_from(child.id()).expect("a process id")
}

/// Fills in the template as the platform does.
fn render(template: &str, machine: &Machine, bootstrap: bool) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#bounds.quotaWindow}}") {
        let inner = begin + "{{#bounds.quotaWindow}}".len();
        let length = text[inner..].find("{{/bounds.quotaWindow}}").expect("the end of a section");
        let content =
            if machine.quotas { text[inner..inner + length].to_owned() } else { String::new() };
        text.replace_range(begin..inner + length + "{{/bounds.quotaWindow}}".len(), &content);
    }
    let ip = machine.ip;
    for (name, value) in [
        ("{{ip}}", ip.to_string()),
        ("{{internalPorts.0}}", INTERNAL_PORT.to_string()),
        ("{{region}}", "region".to_owned()),
        ("{{zone}}", machine.zone.clone()),
        ("{{service}}", machine.service.clone()),
        ("{{listenAddrs.ready}}", format!("{ip}:{READY_PORT}")),
        ("{{listenAddrs.control}}", format!("{ip}:{CONTROL_PORT}")),
        ("{{listenAddrs.outbound}}", format!("{ip}:{OUTBOUND_PORT}")),
        ("{{platform.address}}", machine.store.to_string()),
        ("{{bootstrap|json}}", bootstrap.to_string()),
        ("{{limits.linkMbps|json}}", "1000.0".to_owned()),
        ("{{bounds.quotaWindow|json}}", "5".to_owned()),
        ("{{bounds.quotaOver|json}}", "0.1".to_owned()),
        ("{{bounds.quotaSlack|json}}", "20".to_owned()),
    ] {
        text = text.replace(name, &value);
    }
    assert!(!text.contains("{{"), "a placeholder that the stand-in doesn't know: {text}");
    text
}

/// Loopback addresses of which none of the ports is in use.
pub fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let id = std::process::id();
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.subsec_nanos());
    let mut seed = id.wrapping_mul(2_654_435_761) ^ nanos;
    let mut found = Vec::new();
    while found.len() < count {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let [a, b, c, _] = seed.to_be_bytes();
        let ip = Ipv4Addr::new(127, a.clamp(10, 250), b, c.max(1));
        if !found.contains(&ip) && is_free(ip) {
            found.push(ip);
        }
    }
    found
}

fn is_free(ip: Ipv4Addr) -> bool {
    let ports = (INTERNAL_PORT..INTERNAL_PORT + 6).chain([READY_PORT, CONTROL_PORT, OUTBOUND_PORT]);
    ports.into_iter().all(|port| {
        let address = (IpAddr::V4(ip), port);
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    })
}
