# The few things that are done with this repository.
.PHONY: build test format lint run faktory console conformance bench-faktory bench-slow-peers bench-fleet clean

build:      ## the jar, without tests, and the archive of its classes that makes starts short
	mvn -q -B -ntp -DskipTests package
	java -XX:ArchiveClassesAtExit=target/damsonslip.jsa -XX:+UseSerialGC -Djava.locale.providers=COMPAT -Dslf4j.provider=org.slf4j.simple.SimpleServiceProvider -Dslf4j.internal.verbosity=WARN -jar target/damsonslip.jar rehearse

test:       ## what CI runs: build with Error Prone, all tests, format and style checks
	mvn -B -ntp verify

format:     ## formats all Java sources
	mvn -q -B -ntp spotless:apply

lint:       ## checks format and style alone
	mvn -q -B -ntp spotless:check checkstyle:check

run:        ## the real scheduler of the platform; ROUTER_CONFIG names its configuration
	java -jar target/damsonslip.jar serve

faktory:    ## the scheduler as a Faktory server, by the operator's file
	java -jar target/damsonslip.jar serve deploy/faktory.toml

console:    ## the terminal console of a running scheduler
	java -jar target/damsonslip.jar console

SERVER = 127.0.0.1:7419
conformance: ## plays the protocol's cases against a running Faktory server: make conformance SERVER=127.0.0.1:7419
	java -jar target/damsonslip.jar conformance $(SERVER)

bench-faktory: build ## rates and times of the Faktory front by connections and store; two minutes, machine to itself
	bench/faktory.sh 10000

bench-slow-peers: ## what 300 slow clients cost usual ones; two minutes, machine to itself
	mvn -q -B -ntp test -Dtest=SlowPeersMeasurement

bench-fleet: build ## how 100 processes start at once and 120 serve from 400 workers; two minutes, 8 GB
	mvn -q -B -ntp test -Dtest=FleetMeasurement

clean:
	mvn -q -B -ntp clean
