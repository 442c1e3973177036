Feature: The ledger applies ordered entries deterministically

  Background:
    Given members c1, c2, e1 and e2
    And runners r1 and r2 that accept 1 call each

  Scenario: A turn is placed on the first admissible candidate
    When e1 reserves 10 of 100 for p1 on r1 or r2
    And e2 reserves 10 of 100 for p2 on r1 or r2
    And e2 reserves 10 of 100 for p3 on r1 or r2
    Then the results are Reserved r1, Reserved r2, NoRunner

  Scenario: A draining runner gets no new turn
    When e1 drains r1
    And e1 reserves 10 of 100 for p1 on r1 or r2
    Then the results are Done, Reserved r2

  Scenario: A program has one open turn at a time
    When e1 reserves 10 of 100 for p1 on r1 or r2
    And e2 reserves 10 of 100 for p1 on r1 or r2
    Then the results are Reserved r1, TurnOpen

  Scenario: Reservations never exceed the budget
    When e1 reserves 70 of 100 for p1 on r1 or r2
    And e1 settles it with 70
    And e1 reserves 70 of 100 for p1 on r1 or r2
    And e1 settles it with 30
    And e1 reserves 1 of 100 for p1 on r1 or r2
    Then the results are Reserved r1, Done, Reserved r1, Done, BudgetSpent
    And the reserved amounts are 70, 30

  Scenario: A reservation of a departed member is charged in full and ends the turn
    When e1 reserves 70 of 100 for p1 on r1 or r2
    And a configuration without e1 opens
    And e1 settles it with 1
    And e2 reserves 70 of 100 for p1 on r1 or r2
    Then the results are Reserved r1, Done, NotHeld, Reserved r1
    And the reserved amounts are 70, 30

  Scenario: Claims of a key share its result until the window has passed
    When e1 claims k with body a
    And e2 claims k with body a
    And e1 finishes k
    And e2 claims k with body a
    And e2 claims k with body b
    And 59 seconds pass
    And e2 claims k with body a
    And 2 seconds pass
    And e2 claims k with body a
    Then the results are Won, Shared held, Done, Shared done, KeyReused, Shared done, Won

  Scenario: A key of a departed owner has the status unknown and cannot be claimed anew
    When e1 claims k with body a
    And a configuration without e1 opens
    And e2 claims k with body a
    Then the results are Won, Done, Shared unknown

  Scenario: A full stop restarts the window of a key
    When e1 claims k with body a
    And e1 finishes k
    And 59 seconds pass
    And all members restart
    And 2 seconds pass
    And e2 claims k with body a
    And 59 seconds pass
    And e2 claims k with body a
    Then the results are Won, Done, Done, Shared done, Won

  Scenario: A duplicate entry is not applied again
    When e1 claims k with body a
    And the last entry is delivered again
    Then the results are Won, None

  Scenario: One of two concurrent configuration changes takes effect
    When e1 sets tenants/t on version 0
    And e2 sets tenants/t on version 0
    And e2 sets tenants/t on version 1
    Then the results are ConfigSet, StaleConfig, ConfigSet

  Scenario: Operations of a former role holder are fenced
    When c1 is elected to the role ticks
    And a configuration without c1 opens
    And c2 is elected to the role ticks
    And c1 ticks with its old fencing token
    Then the last result is Fenced
