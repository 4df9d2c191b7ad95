/** Tests of the division of capacity among the processes of one scheduler. */
package damsonslip.membership.peers;
