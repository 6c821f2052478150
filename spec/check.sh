#!/bin/sh
# Checks the specifications exhaustively with spin at the sizes listed below, and
# that spin finds a counterexample for each mutant (a specification with one guard
# removed). LONG=1 adds two tasks on two agents for dispatch.pml.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
spec=$here/dispatch.pml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"
passed=0

# verify OPTIONS: runs the verifier on $spec and prints its report.
verify() {
	# shellcheck disable=SC2086
	spin $1 -a "$spec"
	gcc -w "-O${optimize:-2}" -DSAFETY -DCOLLAPSE -DMEMLIM=9000 -o pan pan.c
	./pan -E -n -m1000000 "-w${HASH:-24}"
}

sizes="-DTASKS=1:-DAGENTS=2 -DTASKS=2:-DAGENTS=1"
[ -z "${LONG:-}" ] || sizes="$sizes -DTASKS=2:-DAGENTS=2"
for size in $sizes; do
	options=$(echo "$size" | tr ':' ' ')
	verify "$options" > report
	states=$(grep 'states, stored' report | awk '{print $1}')
	if ! grep -q 'errors: 0' report || grep -q 'not completed' report; then
		cat report
		echo "spec: $options: FAILED"
		exit 1
	fi
	echo "spec: $options: holds in all $states states"
	passed=$((passed + 1))
done

# mutants OPTIONS: checks that each mutant of $spec has a counterexample.
mutants() {
	for mutant in $(grep -oE '^#ifn?def NO_[A-Z_]+' "$spec" | awk '{print $2}' | sort -u); do
		verify "$1 -D$mutant" > report
		if grep -q 'errors: 0' report; then
			echo "spec: mutant $mutant has no counterexample: FAILED"
			exit 1
		fi
		echo "spec: mutant $mutant has a counterexample, as it must"
		passed=$((passed + 1))
	done
}

mutants "-DTASKS=1 -DAGENTS=2"

spec=$here/lease.pml
optimize=1 # its states are few: compiling takes longer than checking
verify "" > report
if ! grep -q 'errors: 0' report || grep -q 'not completed' report; then
	cat report
	echo "spec: leases: FAILED"
	exit 1
fi
echo "spec: leases: holds in all $(grep 'states, stored' report | awk '{print $1}') states"
passed=$((passed + 1))
mutants ""
echo "spec: $passed passed, 0 failed"
