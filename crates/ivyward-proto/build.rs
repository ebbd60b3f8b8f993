//! Generates Rust code from the .proto files. `protox` parses them, so `protoc` need not be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = [
        "ivyward/front/v1/front.proto",
        "ivyward/engine/v1/engine.proto",
        "ivyward/record/v1/record.proto",
        "ivyward/peers/v1/peers.proto",
        "etcd/rpc.proto",
    ];
    println!("cargo:rerun-if-changed=proto");
    let set = protox::compile(files, ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .compile_fds(set)?;
    Ok(())
}
