//! Node processes, started with the command and the settings template of the deploy file.

use std::fs;
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::record::Random;

/// The ports of a day, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub internal: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
}

impl Ports {
    /// Ports that are free on all of `ips`.
    pub fn free(ips: &[String], random: &mut Random) -> Self {
        for _ in 0..100 {
            let first = 20_000 + (random.next() % 10_000) as u16;
            let used = first..first + 20;
            let free = |ip: &String, port: u16| {
                TcpListener::bind((ip.as_str(), port)).is_ok()
                    && UdpSocket::bind((ip.as_str(), port)).is_ok()
            };
            if ips.iter().all(|ip| used.clone().all(|port| free(ip, port))) {
                return Self {
                    internal: first,
                    ready: first + 16,
                    control: first + 17,
                    outbound: first + 18,
                    app: first + 19,
                };
            }
        }
        panic!("no free ports");
    }
}

/// Where a node runs.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub service: String,
    pub ports: Ports,
    pub store: String,
}

impl Place {
    pub fn control(&self) -> String {
        format!("{}:{}", self.ip, self.ports.control)
    }

    pub fn outbound(&self) -> String {
        format!("{}:{}", self.ip, self.ports.outbound)
    }

    pub fn app(&self) -> String {
        format!("{}:{}", self.ip, self.ports.app)
    }

    /// The settings file, as the platform fills in the template.
    fn settings(&self, bootstrap: bool) -> String {
        let template =
            fs::read_to_string("deploy/node.json").expect("the template of the settings");
        let mut text = template;
        // No quotas are in force, so that the sections for them are empty.
        while let Some(start) = text.find("{{#bounds.quotaWindow}}") {
            let end = "{{/bounds.quotaWindow}}";
            let length = text[start..].find(end).expect("the end of a section") + end.len();
            text.replace_range(start..start + length, "");
        }
        let values = [
            ("{{ip}}", self.ip.clone()),
            ("{{internalPorts.0}}", self.ports.internal.to_string()),
            ("{{region}}", "local".to_owned()),
            ("{{zone}}", self.zone.clone()),
            ("{{service}}", self.service.clone()),
            ("{{listenAddrs.ready}}", format!("{}:{}", self.ip, self.ports.ready)),
            ("{{listenAddrs.control}}", self.control()),
            ("{{listenAddrs.outbound}}", self.outbound()),
            ("{{platform.address}}", self.store.clone()),
            ("{{bootstrap|json}}", bootstrap.to_string()),
            ("{{limits.linkMbps|json}}", "1000.0".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(name, &value);
        }
        assert!(!text.contains("{{"), "a placeholder is not known: {text}");
        text
    }
}

/// A running node, which is killed when it is dropped.
pub struct Node {
    pub place: Place,
    child: Child,
}

impl Node {
    /// Starts a node. `folder` takes its settings and its log.
    pub fn start(place: &Place, folder: &PathBuf, bootstrap: bool) -> Self {
        let settings = folder.join(format!("{}.json", place.name));
        fs::write(&settings, place.settings(bootstrap)).expect("the settings can be written");
        let log = folder.join(format!("{}.log", place.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new("target/release/dandelionspool-platform")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("LANG", "C.UTF-8")
            .env("DANDELIONSPOOL_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        Self { place: place.clone(), child }
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let address = format!("{}:{}", self.place.ip, self.place.ports.ready);
        let Ok(mut conn) = Conn::connect(&address, limit) else { return false };
        let sent = conn.write("GET /ready HTTP/1.1", &[("Host", "node")], b"");
        sent.is_ok() && conn.read(limit).is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            assert!(Instant::now() < until, "{} is not ready", self.place.name);
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
