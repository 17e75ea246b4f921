/** Serves the operators' HTTP interface of a control replica. */
package org.waxwingbeam.operator.net;
