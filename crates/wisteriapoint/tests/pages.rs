//! Runs the examples in the documentation for callers and trainers.
//!
//! The command lines are parsed and sent by a client library, so that curl need not be installed.

mod fleet;

use std::collections::BTreeSet;

use fleet::{Fleet, document, revision, wait_until};
use reqwest::header::HeaderMap;
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use uuid::Uuid;
use wisteriapoint_stand_in::{Engine, EngineSettings, PlainService, RunningServer, serve};

/// A command line and the response that the page shows for it.
struct Example {
    method: Method,
    url: String,
    headers: Vec<(String, String)>,
    body: Option<String>,
    status: StatusCode,
    expected_headers: Vec<(String, String)>,
    expected_body: Option<Value>,
}

fn code_blocks<'a>(page: &'a str, language: &str) -> Vec<&'a str> {
    let fence = format!("```{language}\n");
    let rest = page.split(fence.as_str()).skip(1);
    rest.map(|block| block.split("```").next().unwrap())
        .collect()
}

fn parse_examples(page: &str, url: &str) -> Vec<Example> {
    let commands = code_blocks(page, "sh");
    let responses = code_blocks(page, "http");
    assert_eq!(
        commands.len(),
        responses.len(),
        "the page needs one response for each command"
    );
    let key = Uuid::now_v7().to_string();
    let substitute = |command: &str| command.replace("$WISTERIAPOINT", url).replace("$KEY", &key);
    let pairs = commands.iter().zip(responses);
    pairs
        .map(|(command, response)| parse_example(&substitute(command), response))
        .collect()
}

fn parse_example(command: &str, response: &str) -> Example {
    let (head, expected_body) = response.split_once("\n\n").unwrap_or((response, ""));
    let mut lines = head.lines();
    let status = lines.next().unwrap().split(' ').nth(1).unwrap();
    let mut example = Example {
        method: Method::GET,
        url: String::new(),
        headers: Vec::new(),
        body: None,
        status: status.parse().unwrap(),
        expected_headers: lines.map(parse_header).collect(),
        expected_body: serde_json::from_str(expected_body).ok(),
    };
    assert_eq!(
        example.expected_body.is_none(),
        expected_body.trim().is_empty(),
        "{response}"
    );
    let mut words = split_words(command).into_iter();
    assert_eq!(words.next().as_deref(), Some("curl"));
    let mut method = None;
    while let Some(word) = words.next() {
        match word.as_str() {
            "-N" => {}
            "-X" => method = words.next(),
            "-H" => example.headers.push(parse_header(&words.next().unwrap())),
            "-d" => example.body = words.next(),
            option if option.starts_with('-') => panic!("curl option {option} is not supported"),
            url => example.url = url.to_owned(),
        }
    }
    let default = if example.body.is_some() {
        "POST"
    } else {
        "GET"
    };
    example.method = method.as_deref().unwrap_or(default).parse().unwrap();
    example
}

fn parse_header(line: &str) -> (String, String) {
    let (name, value) = line.split_once(": ").unwrap();
    (name.to_owned(), value.to_owned())
}

/// Splits a command line at spaces outside of quotes.
fn split_words(command: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut quote = None;
    for c in command.replace("\\\n", " ").chars() {
        match (quote, c) {
            (Some(open), c) if c == open => quote = None,
            (None, '\'' | '"') => quote = Some(c),
            (None, c) if c.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            (_, c) => word.push(c),
        }
    }
    words
}

/// Collects the paths of all fields, also in nested objects; a list counts by its first element.
fn collect_field_paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let path = format!("{path}.{name}");
                collect_field_paths(value, &path, found);
                found.insert(path);
            }
        }
        Value::Array(elements) => {
            if let Some(first) = elements.first() {
                collect_field_paths(first, &format!("{path}[]"), found);
            }
        }
        _ => {}
    }
}

async fn check_example(client: &Client, example: Example) {
    let mut request = client.request(example.method.clone(), &example.url);
    for (name, value) in &example.headers {
        request = request.header(name, value);
    }
    if let Some(body) = &example.body {
        request = request.body(body.clone());
    }
    let response = request.send().await.unwrap();
    let label = format!("{} {}", example.method, example.url);
    assert_eq!(response.status(), example.status, "{label}");
    assert_headers(&label, &example.expected_headers, response.headers());
    let text = response.text().await.unwrap();
    if let Some(documented) = example.expected_body {
        let body: Value = serde_json::from_str(&text).unwrap();
        assert_body(&label, &documented, &body);
    }
}

fn assert_headers(label: &str, documented: &[(String, String)], headers: &HeaderMap) {
    for (name, value) in documented {
        let found = headers.get(name).and_then(|found| found.to_str().ok());
        assert_eq!(found, Some(value.as_str()), "{label}: {name}");
    }
}

/// Compares all fields of a body with the page, and all values that the page does not elide.
fn assert_body(label: &str, documented: &Value, body: &Value) {
    let (mut expected, mut found) = (BTreeSet::new(), BTreeSet::new());
    collect_field_paths(documented, "", &mut expected);
    collect_field_paths(body, "", &mut found);
    found.retain(|path| !path.starts_with(".samples[]"));
    assert_eq!(expected, found, "{label}");
    for (name, value) in documented.as_object().unwrap() {
        let is_elided = value.to_string().contains('…') || name == "samples";
        assert!(
            is_elided || body[name] == *value,
            "{label}: {name} is {}",
            body[name]
        );
    }
}

struct Fixture {
    fleet: Fleet,
    client: Client,
    _running: [RunningServer; 2],
}

async fn fixture() -> Fixture {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    let shop = serve::on_loopback(PlainService::new().router())
        .await
        .unwrap();
    let engine = Engine::new(EngineSettings::default());
    let engine = serve::on_loopback(engine.router()).await.unwrap();
    let model = json!({
        "service": "advisor-lm", "owner": "advisor team", "kind": "model",
        "endpoints": [{
            "endpoint": "advisor-1", "address": engine.address,
            "failure_domain": "dk-east-a", "vm": "advisor-vm-1",
        }],
    });
    fleet
        .apply(&document("shopfront", shop.address, 5_000))
        .await;
    fleet.apply(&model.to_string()).await;
    let daemon = &fleet.daemons[0];
    fleet
        .wait_until("both services are in force", |_| {
            revision(daemon, "shopfront").is_some() && revision(daemon, "advisor-lm").is_some()
        })
        .await;
    Fixture {
        client: Client::builder().no_proxy().build().unwrap(),
        fleet,
        _running: [shop, engine],
    }
}

impl Fixture {
    fn examples(&self, page: &str) -> Vec<Example> {
        let url = format!("http://{}", self.fleet.daemons[0].addresses().service);
        parse_examples(page, &url)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn examples_of_the_callers_page() {
    let fixture = fixture().await;
    let examples = fixture.examples(include_str!("../../../docs/callers.md"));
    assert_eq!(examples.len(), 7);
    for example in examples {
        check_example(&fixture.client, example).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn examples_of_the_trainers_page() {
    let fixture = fixture().await;
    let examples = fixture.examples(include_str!("../../../docs/trainers.md"));
    assert_eq!(examples.len(), 4);
    for example in examples {
        let is_pull = example.url.ends_with("advisor-trainer/1/pull");
        if is_pull {
            wait_until("the step is complete", || async {
                let pull = fixture.client.post(&example.url);
                let body = example.body.clone().unwrap();
                let response = pull.body(body).send().await.unwrap();
                let pulled: Value = response.json().await.unwrap();
                pulled["samples"]
                    .as_array()
                    .is_some_and(|samples| samples.len() == 4)
            })
            .await;
        }
        check_example(&fixture.client, example).await;
    }
}
