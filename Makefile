# Measures every slope of docs/CAPACITY.md, prints the fleet's control at the
# target's size and fails when a daemon is above its budget as built.
.PHONY: slopes
slopes:
	go test -count=1 -run 'TestStoreCallsAtThePeak' -v ./claim
	go test -count=1 -run '^$$' -bench . -benchtime 200x ./capacity
