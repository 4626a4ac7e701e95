//! Records commands and requests with their output, for comparison with snapshots.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder};
use tempfile::TempDir;
use wisteriapoint::daemon::Addresses;

use crate::fleet::{Fleet, wait_until};

const REDACTED_DATE: &str = "Thu, 01 Jan 2026 00:00:00 GMT";
const RECORDED_HEADERS: [&str; 5] = [
    "content-type",
    "retry-after",
    "wisteriapoint-verdict",
    "wisteriapoint-replayed",
    "allow",
];

/// A recorded session; its text has placeholders for addresses, dates and view numbers.
pub(crate) struct Session {
    text: String,
    directory: TempDir,
    platform_url: String,
    service_url: String,
    names: Vec<(String, String)>,
    view: String,
    client: Client,
}

impl Session {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let first = fleet.daemons[0].addresses();
        let view = fleet.daemons[0].shared().snapshot.load().view.number;
        let mut session = Self {
            text: String::new(),
            directory: tempfile::tempdir().unwrap(),
            platform_url: format!("http://{}", fleet.platform_server.address),
            service_url: format!("http://{}", first.service),
            names: Vec::new(),
            view: format!("{view:>6} "),
            client: Client::builder().no_proxy().build().unwrap(),
        };
        session.add_name(fleet.platform_server.address, "PLATFORM");
        for (index, daemon) in fleet.daemons.iter().enumerate() {
            session.add_name(daemon.addresses().admin, &format!("ADMIN-{}", index + 1));
        }
        session
    }

    /// Shows an address as `name` in the text and replaces `name` by the address in commands.
    pub(crate) fn add_name(&mut self, address: SocketAddr, name: &str) {
        self.names.push((address.to_string(), name.to_owned()));
    }

    /// Adds a comment line to the text.
    pub(crate) fn comment(&mut self, remark: &str) {
        writeln!(self.text, "# {remark}\n").unwrap();
    }

    /// Writes a file into the working directory of the commands.
    pub(crate) fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.directory.path().join(name), text).unwrap();
    }

    /// Runs the command line tool and records its output and exit code.
    pub(crate) fn run_command(&mut self, arguments: &str) {
        let output = self.output(arguments);
        let code = output.status.code().unwrap_or(-1);
        let stdout = self.redacted(&String::from_utf8_lossy(&output.stdout));
        let stderr = self.redacted(&String::from_utf8_lossy(&output.stderr));
        writeln!(self.text, "$ wisteriapoint {arguments}").unwrap();
        writeln!(self.text, "{stdout}{stderr}exit code {code}\n").unwrap();
    }

    /// Returns `true` if a command succeeds; records nothing.
    pub(crate) fn succeeds(&self, arguments: &str) -> bool {
        self.output(arguments).status.success()
    }

    fn output(&self, arguments: &str) -> Output {
        tokio::task::block_in_place(|| self.command(arguments).output().unwrap())
    }

    /// Starts the command line tool in the background, with its log in a file.
    pub(crate) fn start_command(&mut self, arguments: &str) -> Child {
        writeln!(self.text, "$ wisteriapoint {arguments} 2>log &\n").unwrap();
        let log = std::fs::File::create(self.directory.path().join("log")).unwrap();
        let mut command = self.command(arguments);
        command.stdout(Stdio::null()).stderr(log).spawn().unwrap()
    }

    fn command(&self, arguments: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriapoint"));
        command
            .current_dir(self.directory.path())
            .env("WISTERIAPOINT_PLATFORM_URL", &self.platform_url)
            .env("USER", "operator");
        for argument in arguments.split(' ') {
            let entry = self.names.iter().find(|(_, name)| name == argument);
            command.arg(entry.map_or(argument, |(address, _)| address.as_str()));
        }
        command
    }

    /// Waits for the addresses file of a started daemon and returns its content.
    pub(crate) async fn addresses(&self, name: &str) -> Addresses {
        let path = self.directory.path().join(name);
        wait_until("the daemon has written its addresses", || async {
            read_addresses(&path).is_some()
        })
        .await;
        read_addresses(&path).unwrap()
    }

    /// Waits until a started process exits.
    pub(crate) async fn wait(&self, process: &mut Child) -> ExitStatus {
        loop {
            if let Some(status) = process.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the number of lines in the log of a started process, without those about views.
    pub(crate) fn log_lines(&self) -> usize {
        let log = std::fs::read_to_string(self.directory.path().join("log")).unwrap();
        log.lines().filter(|line| !line.contains("view")).count()
    }

    /// Records the level and text of the log lines whose message is in `messages`.
    pub(crate) fn record_logs(&mut self, messages: &[&str]) {
        let log = std::fs::read_to_string(self.directory.path().join("log")).unwrap();
        self.text.push_str("$ cat log\n");
        for line in log.lines() {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            let message = line["message"].as_str().unwrap();
            if messages.contains(&message) {
                writeln!(self.text, "{} {message}", line["level"].as_str().unwrap()).unwrap();
            }
        }
    }

    /// Sends a request to the first daemon and records its response.
    pub(crate) async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) {
        writeln!(self.text, "> {method} {path}").unwrap();
        let mut request = self.request(method, path, body);
        for (name, value) in headers {
            writeln!(self.text, "> {name}: {value}").unwrap();
            request = request.header(*name, *value);
        }
        if !body.is_empty() {
            writeln!(self.text, "> {body}").unwrap();
        }
        let response = request.send().await.unwrap();
        writeln!(self.text, "{}", response.status()).unwrap();
        for name in RECORDED_HEADERS {
            if let Some(value) = response.headers().get(name) {
                writeln!(self.text, "{name}: {}", value.to_str().unwrap()).unwrap();
            }
        }
        let body = response.text().await.unwrap();
        writeln!(self.text, "\n{}\n", self.redacted(body.trim_end())).unwrap();
    }

    /// Sends a request to the first daemon and returns the response body; records nothing.
    pub(crate) async fn send_unrecorded(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> serde_json::Value {
        let response = self.request(method, path, body).send().await.unwrap();
        response.json().await.unwrap()
    }

    fn request(&self, method: &str, path: &str, body: &str) -> RequestBuilder {
        let method = Method::from_bytes(method.as_bytes()).unwrap();
        let url = format!("{}{path}", self.service_url);
        self.client.request(method, url).body(body.to_owned())
    }

    /// Returns the text of all that was recorded so far.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    fn redacted(&self, text: &str) -> String {
        let is_member = |line: &str| line.ends_with("in service");
        let lines = text
            .split_inclusive('\n')
            .map(|line| match is_member(line.trim_end()) {
                true => line.replacen(&self.view, "  VIEW ", 1),
                false => line.to_owned(),
            });
        let mut text: String = lines.collect();
        for (address, name) in &self.names {
            text = text.replace(address, name);
        }
        let mut from = 0;
        while let Some(at) = text[from..].find(" GMT") {
            let end = from + at + " GMT".len();
            text.replace_range(end - REDACTED_DATE.len()..end, REDACTED_DATE);
            from = end;
        }
        text
    }
}

fn read_addresses(path: &Path) -> Option<Addresses> {
    let text = std::fs::read(path).ok()?;
    serde_json::from_slice(&text).ok()
}
