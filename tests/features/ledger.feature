Feature: The ledger acts on deliveries alone, the same everywhere

  Background:
    Given members c1, c2, e1 and e2
    And runners r1 and r2 with room for 1 each

  Scenario: A turn is placed on the first runner still admissible
    When e1 reserves 10 of 100 for p1 on r1 or r2
    And e2 reserves 10 of 100 for p2 on r1 or r2
    And e2 reserves 10 of 100 for p3 on r1 or r2
    Then the results are Reserved r1, Reserved r2, NoRunner

  Scenario: A draining runner gets no new turn
    When e1 drains r1
    And e1 reserves 10 of 100 for p1 on r1 or r2
    Then the results are Done, Reserved r2

  Scenario: A program takes one turn at a time
    When e1 reserves 10 of 100 for p1 on r1 or r2
    And e2 reserves 10 of 100 for p1 on r1 or r2
    Then the results are Reserved r1, TurnOpen

  Scenario: Output is never granted past the budget
    When e1 reserves 70 of 100 for p1 on r1 or r2
    And e1 settles it with 70
    And e1 reserves 70 of 100 for p1 on r1 or r2
    And e1 settles it with 30
    And e1 reserves 1 of 100 for p1 on r1 or r2
    Then the results are Reserved r1, Done, Reserved r1, Done, BudgetSpent
    And the grants are 70, 30

  Scenario: A reservation whose daemon is lost counts as spent and frees the program
    When e1 reserves 70 of 100 for p1 on r1 or r2
    And a configuration without e1 opens
    And e1 settles it with 1
    And e2 reserves 70 of 100 for p1 on r1 or r2
    Then the results are Reserved r1, Done, NotHeld, Reserved r1
    And the grants are 70, 30

  Scenario: Keys share the one result until their window has passed
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

  Scenario: A key whose owner is lost is unknown, not free
    When e1 claims k with body a
    And a configuration without e1 opens
    And e2 claims k with body a
    Then the results are Won, Done, Shared unknown

  Scenario: After a full stop a key's window starts anew
    When e1 claims k with body a
    And e1 finishes k
    And 59 seconds pass
    And all stop and come back
    And 2 seconds pass
    And e2 claims k with body a
    And 59 seconds pass
    And e2 claims k with body a
    Then the results are Won, Done, Done, Shared done, Won

  Scenario: An operation delivered twice acts once
    When e1 claims k with body a
    And the last message is delivered again
    Then the results are Won, None

  Scenario: Of two racing configurations one takes effect
    When e1 sets tenants/t on version 0
    And e2 sets tenants/t on version 0
    And e2 sets tenants/t on version 1
    Then the results are ConfigSet, StaleConfig, ConfigSet

  Scenario: A stale duty holder's acts are turned away
    When c1 wins the duty ticks
    And a configuration without c1 opens
    And c2 wins the duty ticks
    And c1 ticks with its old fence
    Then the last result is Fenced
