/** Tests of the engine without a network: requests, attempts, the event loop and the lifecycle. */
package damsonslip.engine;
