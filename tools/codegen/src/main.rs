//! Writes the peer protocol's Rust code from its `.proto` file.
//!
//! Run by hand after a change: `cargo run --manifest-path tools/codegen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../crates/ivyweir-peer");
    let files = protox::compile(["peer.proto"], [format!("{root}/proto")])?;
    tonic_prost_build::configure()
        .out_dir(format!("{root}/src/generated"))
        .compile_fds(files)?;
    Ok(())
}
