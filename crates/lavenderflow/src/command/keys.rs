//! The command `keys`: generates the keys of a fleet.

use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

use crate::error::KeyError;
use crate::net::tls::SERVER_NAME;

/// generate an authority and a key for each node
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    /// directory for the PEM files
    #[argh(option)]
    out: PathBuf,
    /// names of the nodes
    #[argh(positional)]
    nodes: Vec<String>,
}

/// Writes `authority.pem`, `authority.key`, and a certificate and key for each node.
///
/// An existing authority is reused.
///
/// # Errors
///
/// A file cannot be written, or the authority cannot be read.
pub fn run(args: &KeysArgs) -> Result<(), KeyError> {
    generate(&args.out, args.nodes.iter().map(String::as_str))
}

/// Generates the keys of the named nodes in a directory.
///
/// # Errors
///
/// A file cannot be written, or the authority cannot be read.
pub fn generate<'a>(out: &Path, nodes: impl IntoIterator<Item = &'a str>) -> Result<(), KeyError> {
    fs::create_dir_all(out).map_err(|fault| KeyError::Write { path: out.to_owned(), fault })?;
    let issuer = authority(out)?;
    for name in nodes {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new([SERVER_NAME.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        let certificate = params.signed_by(&key, &issuer)?;
        write(&out.join(format!("{name}.pem")), &certificate.pem())?;
        write(&out.join(format!("{name}.key")), &key.serialize_pem())?;
    }
    Ok(())
}

/// Reads the authority's key, or generates the authority.
fn authority(out: &Path) -> Result<Issuer<'static, KeyPair>, KeyError> {
    let key = out.join("authority.key");
    let params = authority_params()?;
    if let Ok(text) = fs::read_to_string(&key) {
        return Ok(Issuer::new(params, KeyPair::from_pem(&text)?));
    }
    let pair = KeyPair::generate()?;
    write(&out.join("authority.pem"), &params.self_signed(&pair)?.pem())?;
    write(&key, &pair.serialize_pem())?;
    Ok(Issuer::new(params, pair))
}

fn authority_params() -> Result<CertificateParams, KeyError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.distinguished_name.push(DnType::CommonName, "lavenderflow authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn write(path: &Path, text: &str) -> Result<(), KeyError> {
    fs::write(path, text).map_err(|fault| KeyError::Write { path: path.to_owned(), fault })
}
