//! The operators' commands. Doc comments are the help texts.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};
use dotterellane_units::{ByteSize, KeyId, ModelId, OperatorId, TeamId, TokenCount, TokenRate};

/// How the operators' commands reach the fleet
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ConnectionArguments {
    /// Address of the administration API, of any host
    #[arg(
        long,
        global = true,
        env = "DOTTERELLANE_SERVER",
        value_name = "URL",
        default_value = "http://127.0.0.1:8081",
        help_heading = "Connection"
    )]
    pub server: String,

    /// File that holds the operator's key
    #[arg(
        long,
        global = true,
        env = "DOTTERELLANE_KEY_FILE",
        value_name = "FILE",
        help_heading = "Connection"
    )]
    pub key_file: Option<PathBuf>,

    /// PEM file with the certificates that an https server is trusted by
    #[arg(
        long,
        global = true,
        env = "DOTTERELLANE_CA_FILE",
        value_name = "FILE",
        help_heading = "Connection"
    )]
    pub ca_file: Option<PathBuf>,
}

/// The operators' commands
#[derive(Debug)]
#[derive(Subcommand)]
pub enum OperatorCommand {
    /// Check a configuration document or the settings of a daemon
    ///
    /// Every error is printed with its line; the exit code is 2 if there is one.
    Check {
        /// File to check, in YAML
        file: PathBuf,

        /// What the file holds
        #[arg(long, value_enum, default_value_t = FileKind::Document)]
        kind: FileKind,
    },
    /// Read and change the configuration document
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Issue, rotate and withdraw keys
    #[command(subcommand)]
    Key(KeyCommand),
    /// Read and change teams
    #[command(subcommand)]
    Team(TeamCommand),
    /// Read and change models
    #[command(subcommand)]
    Model(ModelCommand),
    /// Show the state of the fleet as one host sees it
    Status {
        /// Print JSON instead of tables
        #[arg(long)]
        json: bool,
    },
    /// Show the state of the fleet again and again
    Top {
        /// Seconds between two looks
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..))]
        interval: u64,

        /// Number of looks; without end if not given
        #[arg(long)]
        count: Option<u32>,
    },
}

/// What a file holds
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum FileKind {
    /// The configuration document
    Document,
    /// Settings of a daemon
    Daemon,
}

/// How a change is made
#[derive(Clone, Debug, Default)]
#[derive(Args)]
pub struct ChangeArguments {
    /// Only print what the change would do
    #[arg(long)]
    pub dry_run: bool,

    /// What history shall say of the change
    #[arg(long, short, value_name = "TEXT")]
    pub message: Option<String>,

    /// Longest wait for the change to be in force, in seconds
    #[arg(long, value_name = "SECONDS", default_value_t = 5)]
    pub wait: u32,
}

/// Read and change the configuration document
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Print the document
    Get {
        /// Print it as it was at this version
        #[arg(long, value_name = "VERSION")]
        version: Option<u64>,
    },
    /// Replace the document
    ///
    /// The file's first line names the version that it was made from, as `config get` prints it.
    Put {
        /// File with the new document
        file: PathBuf,

        /// Version that the file was made from, in the place of its first line
        #[arg(long, value_name = "VERSION")]
        from: Option<u64>,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Print what differs between a file and the document, or between two versions
    Diff {
        /// File, or version if another version follows
        older: String,

        /// Version to compare the first one with
        newer: Option<u64>,
    },
    /// Check a document without sending it
    Check {
        /// File with the document
        file: PathBuf,
    },
    /// Print who changed what and when, newest first
    History {
        /// Number of changes
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Make the content of an earlier version the newest one
    Restore {
        /// The earlier version
        version: u64,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Tell which hosts have not confirmed a version
    Progress {
        /// The version
        version: u64,
    },
}

/// Issue, rotate and withdraw keys
#[derive(Debug)]
#[derive(Subcommand)]
pub enum KeyCommand {
    /// Print the keys of callers
    List {
        /// Print JSON instead of a table
        #[arg(long)]
        json: bool,
    },
    /// Issue a key; its secret is printed this once
    Issue {
        /// Public part of the new key
        id: KeyId,

        /// Team that requests with it run for
        #[arg(long)]
        team: TeamId,

        /// Seconds since the Unix epoch after which it is refused
        #[arg(long, value_name = "SECONDS")]
        expires_at: Option<u64>,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Withdraw a key
    Withdraw {
        /// Public part of the key
        id: KeyId,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Issue a key in the place of another
    Rotate {
        /// Public part of the old key
        id: KeyId,

        /// Public part of the new key
        #[arg(long, value_name = "ID")]
        new_id: KeyId,

        /// Seconds for which the old key keeps working
        #[arg(long, value_name = "SECONDS", default_value_t = 3600)]
        overlap: u64,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Give an operator a key and a role; the secret is printed this once
    Operator {
        /// Name of the operator
        id: OperatorId,

        /// What the operator may do
        #[arg(long, value_enum)]
        role: RoleArgument,

        /// Ask no host: print the key and its digest, for `first_operator` in the settings
        #[arg(long)]
        offline: bool,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// What an operator may do
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum RoleArgument {
    /// Read the document and the state of the fleet
    Read,
    /// Issue, rotate and withdraw keys as well
    Keys,
    /// Change everything
    All,
}

/// Read and change teams
#[derive(Debug)]
#[derive(Subcommand)]
pub enum TeamCommand {
    /// Print the teams with their use
    List,
    /// Add a team
    Add {
        /// Name of the team
        id: TeamId,

        /// Tokens a second over all hosts, as 1500/s
        #[arg(long)]
        rate: TokenRate,

        /// Most tokens at once over all hosts
        #[arg(long)]
        burst: TokenCount,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Change a team
    Set {
        /// Name of the team
        id: TeamId,

        /// Tokens a second over all hosts, as 1500/s
        #[arg(long, required_unless_present = "burst")]
        rate: Option<TokenRate>,

        /// Most tokens at once over all hosts
        #[arg(long)]
        burst: Option<TokenCount>,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove a team that nothing refers to
    Remove {
        /// Name of the team
        id: TeamId,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// Read and change models
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ModelCommand {
    /// Print the models with their state
    List,
    /// Print one model
    Show {
        /// Name of the model
        id: ModelId,
    },
    /// Add a model; what is not given takes its default
    Add {
        /// Name of the model
        id: ModelId,

        /// Fields of the model
        #[command(flatten)]
        fields: ModelFields,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Change a model; what is not given stays
    Set {
        /// Name of the model
        id: ModelId,

        /// Fields of the model
        #[command(flatten)]
        fields: ModelFields,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove a model that nothing refers to
    Remove {
        /// Name of the model
        id: ModelId,

        /// How the change is made
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// Fields of a model
#[derive(Clone, Debug, Default)]
#[derive(Args)]
#[group(required = true, multiple = true)]
pub struct ModelFields {
    /// Version that new loads take
    #[arg(long = "model-version", value_name = "LABEL")]
    pub version: Option<String>,

    /// Accelerator memory of the weights, as 14GiB
    #[arg(long)]
    pub memory: Option<ByteSize>,

    /// Accelerator memory kept free for the KV cache, as 2GiB
    #[arg(long)]
    pub kv_reserve: Option<ByteSize>,

    /// Slots decided while the model is idle
    #[arg(long)]
    pub slots: Option<u32>,

    /// Largest number of slots
    #[arg(long)]
    pub max_slots: Option<u32>,

    /// Requests that one replica runs side by side
    #[arg(long)]
    pub concurrency: Option<u32>,

    /// Largest output of one request, in tokens
    #[arg(long)]
    pub max_output: Option<TokenCount>,

    /// Time within which a request is answered or refused, in seconds
    #[arg(long)]
    pub deadline_seconds: Option<f64>,
}
