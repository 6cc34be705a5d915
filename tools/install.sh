#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
sudo=""
if [ "$(id -u)" != 0 ]; then
    sudo="sudo"
fi
$sudo apt-get update -qq
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    g++ cmake ninja-build clang-format clang-tidy curl \
    libpoco-dev libnghttp2-dev libcxxopts-dev libboost-log-dev libboost-thread-dev \
    catch2 libtrompeloeil-cpp-dev libmsgpack-cxx-dev nlohmann-json3-dev libxxhash-dev >/dev/null
