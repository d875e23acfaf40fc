#!/usr/bin/env bash
# Installs the packages that the build needs, only those that are missing.
set -euo pipefail
packages=(
  curl g++ cmake ninja-build ccache clang-format clang-tidy
  libboost-dev libboost-fiber-dev libboost-context-dev
  libmsgpack-cxx-dev libspdlog-dev libfmt-dev libexpected-dev nlohmann-json3-dev
  libpugixml-dev tao-pegtl-dev libxxhash-dev libssl-dev libgtest-dev libreadline-dev libzstd-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
sudo=''
[ "$(id -u)" -eq 0 ] || sudo='sudo'
$sudo apt-get update -q
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -q -y --no-install-recommends "${missing[@]}"
