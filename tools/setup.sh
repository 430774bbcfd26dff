#!/usr/bin/env bash
# Installs the Debian packages required by the build that are missing.
set -euo pipefail
Packages=(python3 cmake ninja-build pkg-config g++ ccache clang-format clang-tidy
  libcxxtools-dev libcereal-dev libboost-dev libeasyloggingpp-dev libabsl-dev
  libcppunit-dev nlohmann-json3-dev librapidcheck-dev libbenchmark-dev)
Missing=()
for Package in "${Packages[@]}"; do
  dpkg -s "$Package" >/dev/null 2>&1 || Missing+=("$Package")
done
if [ ${#Missing[@]} -gt 0 ]; then
  Sudo=""
  [ "$(id -u)" = 0 ] || Sudo=sudo
  $Sudo apt-get update -q
  $Sudo env DEBIAN_FRONTEND=noninteractive apt-get install -q -y "${Missing[@]}"
fi
