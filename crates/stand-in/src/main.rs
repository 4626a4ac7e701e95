//! Runs the stand-ins as a process, and the demonstration against running daemons.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use wisteriapoint_stand_in::{Engine, EngineSettings, PlainService, Platform, demo, serve};

/// Stand-ins for what surrounds wisteriapoint.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the platform, engines and a plain service in one process.
    Surroundings {
        /// Folder to write addresses and service documents to.
        #[arg(long)]
        folder: PathBuf,
        /// Number of engines.
        #[arg(long, default_value_t = 4)]
        engines: usize,
    },
    /// Sends requests and a trainer's step to running daemons and checks the answers.
    Demo(demo::Demo),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Surroundings { folder, engines } => run_surroundings(folder, engines).await,
        Command::Demo(demo) => demo.run().await,
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_surroundings(folder: PathBuf, engines: usize) -> std::io::Result<bool> {
    let platform = Platform::new();
    let platform = serve::on_loopback(platform.router()).await?;
    let mut running = Vec::new();
    let mut engine_addresses = Vec::new();
    for _ in 0..engines {
        let engine = Engine::new(EngineSettings::default());
        let server = serve::on_loopback(engine.router()).await?;
        engine_addresses.push(server.address);
        running.push(server);
    }
    let plain = serve::on_loopback(PlainService::new().router()).await?;
    write_documents(&folder, &engine_addresses, plain.address)?;
    let url = format!("http://{}", platform.address);
    std::fs::write(folder.join("plain"), format!("http://{}", plain.address))?;
    std::fs::write(folder.join("platform.new"), url)?;
    std::fs::rename(folder.join("platform.new"), folder.join("platform"))?;
    tokio::signal::ctrl_c().await?;
    drop(running);
    Ok(true)
}

fn write_documents(
    folder: &std::path::Path,
    engines: &[SocketAddr],
    plain: SocketAddr,
) -> std::io::Result<()> {
    std::fs::write(
        folder.join("advisor-lm.json"),
        demo::model_document(engines),
    )?;
    std::fs::write(
        folder.join("shopfront.json"),
        demo::plain_document(&[plain]),
    )
}
